package org.fulmarreach.daemon;

import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.logging.Level;

import org.fulmarreach.core.exc.FulmarreachException;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.entry.jobs.JobsNode;
import org.fulmarreach.guard.jobs.RelayNode;
import org.fulmarreach.platform.node.NodeSettings;
import org.fulmarreach.platform.node.NodeSettingsReader;
import org.fulmarreach.runtime.log.BoundedLogHandler;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.log.RuntimeEvent;
import org.fulmarreach.runtime.net.ClientLimits;
import org.fulmarreach.runtime.util.MonotonicClock;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import sun.misc.Signal;

/**
 * Main class of the daemon on the users' platform: {@code fulmard entry} or {@code fulmard guard}, with the settings
 * file that the platform writes. Exit codes: 0 after a stop by SIGTERM, 1 if an actor failed, 2 for invalid settings.
 */
public final class NodeMain {
    private static final int EXIT_BAD_SETTINGS = 2;

    /** Part of the time between SIGTERM and SIGKILL that is reserved for the process to exit after the drain. */
    private static final long EXIT_MARGIN_MS = 400;

    private NodeMain() {}

    /** Environment variable that tells whether an entry refuses jobs whose results would be of no use. */
    private static final String REFUSALS_VARIABLE = "FULMARREACH_OVERLOAD_REFUSALS";

    private static final Set<String> REFUSALS = Set.of("on", "off");

    /** Starts the daemon. */
    public static void main(String[] args) {
        System.setProperty("java.util.logging.manager", DrainLogManager.class.getName());
        // The HTTP client constructs a TLS context even for plain connections. Without a trust store it does not read
        // the certificates of the JDK, which takes about a tenth of the startup time. This process does not use TLS.
        System.setProperty("javax.net.ssl.trustStore", "NONE");
        ArgumentParser parser = constructParser();
        Namespace parsed;
        try {
            parsed = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_BAD_SETTINGS);
            return;
        }
        String file = parsed.getString("settings");
        if (file == null) {
            System.err.println("No settings file. Remedy: set " + NodeSettingsReader.PATH_VARIABLE + " or --settings.");
            System.exit(EXIT_BAD_SETTINGS);
            return;
        }
        String refusals = parsed.getString("overload_refusals");
        if (!REFUSALS.contains(refusals)) {
            System.err.println("Invalid value " + refusals + ". Remedy: set " + REFUSALS_VARIABLE
                    + " or --overload-refusals to on or off.");
            System.exit(EXIT_BAD_SETTINGS);
            return;
        }
        try {
            ClientLimits.check(System.getenv());
        } catch (FulmarreachException e) {
            exitForSettings(e.problem());
        }
        switch (NodeSettingsReader.read(Path.of(file))) {
            case Result.Err<NodeSettings>(var problem) -> exitForSettings(problem);
            case Result.Ok<NodeSettings>(var settings) -> run(parsed, settings, Path.of(file));
        }
    }

    private static void exitForSettings(Problem problem) {
        System.err.println("Invalid settings: " + problem.message() + "\n" + problem.remedy());
        System.exit(EXIT_BAD_SETTINGS);
    }

    private static ArgumentParser constructParser() {
        ArgumentParser parser = ArgumentParsers.newFor("fulmard")
                // Detection would start a process.
                .terminalWidthDetection(false)
                .build()
                .defaultHelp(true)
                .description("Runs a process of fulmarreach on a platform that hosts the log and writes the settings of"
                        + " each process.");
        parser.addArgument("role").choices("entry", "guard").help("role of this process");
        parser.addArgument("--settings")
                .setDefault(System.getenv(NodeSettingsReader.PATH_VARIABLE))
                .help("settings file as JSON; default from " + NodeSettingsReader.PATH_VARIABLE);
        parser.addArgument("--overload-refusals")
                .setDefault(System.getenv().getOrDefault(REFUSALS_VARIABLE, "on"))
                .help("on or off: whether an entry refuses jobs whose results would be of no use any more while a"
                        + " pool has too little room; default from " + REFUSALS_VARIABLE + ", else on");
        parser.addArgument("--exit-after-ms")
                .type(Long.class)
                .setDefault(0L)
                .help("exit after this time; the build uses it to record the classes that are loaded at startup");
        return parser;
    }

    private static void run(Namespace parsed, NodeSettings settings, Path file) {
        String role = parsed.getString("role");
        long exitAfterMs = parsed.getLong("exit_after_ms");
        BoundedLogHandler handler = BoundedLogHandler.install(Level.INFO);
        EventLog log = new EventLog(settings.node());
        ExitStatus status = new ExitStatus();
        CompletionStage<?> stopped;
        if (role.equals("entry")) {
            JobsNode node = JobsNode.start(
                    settings,
                    MonotonicClock.system(),
                    log,
                    new PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
                    parsed.getString("overload_refusals").equals("on"));
            stopped = node.whenStopped();
            long drainTimeoutMs = settings.bounds().stopGraceMs() - EXIT_MARGIN_MS;
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(() -> drain(node, drainTimeoutMs, status, log, handler), "drain"));
        } else {
            stopped = RelayNode.start(settings, MonotonicClock.system(), log).whenStopped();
            // A guard needs no drain: its worker continues under its lease, which the next guard process renews.
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(status, log, handler), "stop"));
        }
        Signal.handle(new Signal("HUP"), signal -> reload(file, settings, log));
        log.emit(RuntimeEvent.STARTED, "role", role, "zone", settings.zone(), "address", settings.ipAddress());
        stopped.thenRunAsync(() -> status.exitAfterFailure(), task -> new Thread(task, "exit").start());
        if (exitAfterMs > 0) {
            CompletableFuture.delayedExecutor(exitAfterMs, TimeUnit.MILLISECONDS)
                    .execute(() -> System.exit(0));
        }
    }

    private static void drain(
            JobsNode node, long drainTimeoutMs, ExitStatus status, EventLog log, BoundedLogHandler handler) {
        status.beginDrain();
        log.emit(RuntimeEvent.DRAINING, "timeoutMs", drainTimeoutMs);
        try {
            node.drain(drainTimeoutMs).toCompletableFuture().get(drainTimeoutMs, TimeUnit.MILLISECONDS);
            log.emit(RuntimeEvent.STOPPED);
        } catch (TimeoutException e) {
            log.emit(RuntimeEvent.DRAIN_TIMEOUT, "timeoutMs", drainTimeoutMs);
        } catch (ExecutionException e) {
            log.emit(RuntimeEvent.DRAIN_TIMEOUT, "cause", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        handler.flush();
        // Without halt, the JVM would exit after its shutdown hooks with 143, the status of a process ended by SIGTERM.
        Runtime.getRuntime().halt(status.resolve(0));
    }

    private static void stop(ExitStatus status, EventLog log, BoundedLogHandler handler) {
        status.beginDrain();
        log.emit(RuntimeEvent.STOPPED);
        handler.flush();
        Runtime.getRuntime().halt(status.resolve(0));
    }

    /** Reads the settings file again and logs whether it changed. Changes take effect only at the next start. */
    private static void reload(Path file, NodeSettings currentSettings, EventLog log) {
        switch (NodeSettingsReader.read(file)) {
            case Result.Ok<NodeSettings>(var read) ->
                log.emit(
                        RuntimeEvent.SETTINGS_RELOADED,
                        "changed",
                        !read.equals(currentSettings),
                        "applied",
                        "at next start");
            case Result.Err<NodeSettings>(var problem) ->
                log.emit(RuntimeEvent.SETTINGS_REFUSED, "reason", problem.message());
        }
    }
}
