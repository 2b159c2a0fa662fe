package org.fulmarreach.daemon;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.logging.Level;

import org.fulmarreach.core.exc.FulmarreachException;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.entry.EntryNode;
import org.fulmarreach.guard.GuardNode;
import org.fulmarreach.runtime.cfg.Role;
import org.fulmarreach.runtime.cfg.Setting;
import org.fulmarreach.runtime.cfg.Settings;
import org.fulmarreach.runtime.cfg.SettingsReader;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.log.LogFormat;
import org.fulmarreach.runtime.log.RuntimeEvent;
import org.fulmarreach.runtime.util.MonotonicClock;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/**
 * Main class of {@code fulmard}. Reads the settings, starts the role, prints one JSON line with its addresses on
 * standard output when it is ready, and drains on SIGTERM. Exit codes: 0 after a completed drain, 1 for a failed start
 * or a drain that did not complete within its timeout, 2 for invalid settings.
 */
public final class FulmardMain {
    private static final String VERSION = "0.1.0";
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_BAD_SETTINGS = 2;

    private FulmardMain() {}

    /** Starts the daemon. */
    public static void main(String[] args) {
        System.setProperty("java.util.logging.manager", DrainLogManager.class.getName());
        SettingsReader reader = new SettingsReader(VERSION);
        Result<Settings> read;
        try {
            read = reader.read(args, System.getenv());
        } catch (ArgumentParserException e) {
            reader.constructParser().handleError(e);
            System.exit(args.length > 0 && isHelp(args) ? 0 : EXIT_BAD_SETTINGS);
            return;
        }
        switch (read) {
            case Result.Err<Settings>(var problem) -> {
                System.err.println("Invalid settings:\n" + problem.message() + "\n" + problem.remedy());
                System.exit(EXIT_BAD_SETTINGS);
            }
            case Result.Ok<Settings>(var settings) -> run(settings);
        }
    }

    private static boolean isHelp(String[] args) {
        for (String arg : args) {
            if (arg.equals("--help") || arg.equals("-h") || arg.equals("--version")) {
                return true;
            }
        }
        return false;
    }

    private static void run(Settings settings) {
        LogFormat.install(Level.parse(settings.text(Setting.LOG_LEVEL).toUpperCase(Locale.ROOT)));
        EventLog log = new EventLog(settings.text(Setting.ID));
        try {
            RunningNode node = settings.role() == Role.ENTRY ? startEntry(settings, log) : startGuard(settings, log);
            ExitStatus status = new ExitStatus();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(node, settings, status, log), "drain"));
            // Without SIGTERM, an entry stops only if one of its actors fails; a guard also after an operator's drain.
            Runnable exit = settings.role() == Role.ENTRY ? status::exitAfterFailure : () -> System.exit(0);
            // System.exit does not return, so it gets its own thread; the actor system's callbacks must still run.
            node.whenStopped().thenRunAsync(exit, task -> new Thread(task, "exit").start());
            printReady(settings, node.addresses());
            log.emit(RuntimeEvent.STARTED, "role", settings.role(), "addresses", node.addresses());
        } catch (FulmarreachException e) {
            System.err.println("fulmard failed to start: " + e.getMessage());
            System.exit(EXIT_FAILED);
        }
    }

    private static void printReady(Settings settings, Map<String, String> addresses) {
        Map<String, Object> ready = new LinkedHashMap<>();
        ready.put("ready", true);
        ready.put("id", settings.text(Setting.ID));
        ready.putAll(addresses);
        try {
            System.out.println(new ObjectMapper().writeValueAsString(ready));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the ready line cannot be written", e);
        }
    }

    private static void drain(RunningNode node, Settings settings, ExitStatus status, EventLog log) {
        long timeoutMs = settings.number(Setting.DRAIN_TIMEOUT_MS);
        status.beginDrain();
        int exitCode = EXIT_FAILED;
        log.emit(RuntimeEvent.DRAINING, "timeoutMs", timeoutMs);
        try {
            node.drain().toCompletableFuture().get(timeoutMs, TimeUnit.MILLISECONDS);
            log.emit(RuntimeEvent.STOPPED);
            exitCode = 0;
        } catch (TimeoutException e) {
            log.emit(RuntimeEvent.DRAIN_TIMEOUT, "timeoutMs", timeoutMs);
        } catch (ExecutionException e) {
            log.emit(RuntimeEvent.DRAIN_TIMEOUT, "cause", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        node.close();
        // Without halt, the JVM would exit after its shutdown hooks with 143, the status of a process ended by SIGTERM.
        Runtime.getRuntime().halt(status.resolve(exitCode));
    }

    private static RunningNode startEntry(Settings settings, EventLog log) {
        EntryNode node = EntryNode.start(
                settings, MonotonicClock.system(), log, new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
        return new RunningNode() {
            @Override
            public Map<String, String> addresses() {
                return Map.of(
                        "listen", format(node.frameAddress()),
                        "http", format(node.callerAddress()),
                        "operatorHttp", format(node.operatorAddress()));
            }

            @Override
            public CompletionStage<?> drain() {
                return CompletableFuture.runAsync(node::drain);
            }

            @Override
            public CompletionStage<?> whenStopped() {
                return node.whenStopped();
            }

            @Override
            public void close() {
                node.close();
            }
        };
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static RunningNode startGuard(Settings settings, EventLog log) {
        GuardNode node = GuardNode.start(settings, MonotonicClock.system(), log, new SimpleMeterRegistry());
        return new RunningNode() {
            @Override
            public Map<String, String> addresses() {
                return Map.of();
            }

            @Override
            public CompletionStage<?> drain() {
                return node.drain();
            }

            @Override
            public CompletionStage<?> whenStopped() {
                return node.whenStopped();
            }

            @Override
            public void close() {
                node.close();
            }
        };
    }
}
