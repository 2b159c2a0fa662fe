package org.fulmarreach.it;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A child process started through one of the scripts in {@code bin/}, which prints one JSON line when it is ready. Its
 * output goes to a file. Thread-safe.
 */
public final class ManagedProcess implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long READY_TIMEOUT_S = 30;

    private final String name;
    private final Process process;
    private final Path output;
    private final CompletableFuture<JsonNode> ready = new CompletableFuture<>();

    private ManagedProcess(String name, Process process, Path output) {
        this.name = name;
        this.process = process;
        this.output = output;
    }

    /*
     * Life cycle
     */

    /**
     * Starts a script.
     *
     * @param name name for messages and for the output files
     * @param directory folder for the output files
     * @param script script in {@code bin/}
     * @param args its arguments
     * @param environment further environment variables
     */
    public static ManagedProcess start(
            String name, Path directory, String script, List<String> args, Map<String, String> environment) {
        List<String> command = new ArrayList<>();
        command.add(findRoot().resolve("bin").resolve(script).toString());
        command.addAll(args);
        Path output = directory.resolve(name + ".out");
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        builder.redirectError(ProcessBuilder.Redirect.appendTo(
                directory.resolve(name + ".err").toFile()));
        try {
            ManagedProcess managed = new ManagedProcess(name, builder.start(), output);
            Thread reader = new Thread(managed::readOutput, "output-" + name);
            reader.setDaemon(true);
            reader.start();
            return managed;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Waits until the process is ready.
     *
     * @return its ready line
     * @throws IllegalStateException if it ended or did not become ready in time
     */
    public JsonNode awaitReady() {
        try {
            return ready.get(READY_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException(name + " did not become ready; see " + output, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Kills the process and waits until it is gone. */
    public void kill() {
        process.destroyForcibly();
        awaitExit(READY_TIMEOUT_S);
    }

    /** Sends SIGTERM and returns at once. */
    public void terminate() {
        process.destroy();
    }

    /** Stops the process with SIGSTOP until {@link #resume()}. */
    public void pause() {
        signal("-STOP");
    }

    /** Continues a paused process. */
    public void resume() {
        signal("-CONT");
    }

    /**
     * Waits for the end of the process.
     *
     * @param timeoutS bound in seconds
     * @return its exit code, or -1 when it still runs
     */
    public int awaitExit(long timeoutS) {
        try {
            return process.waitFor(timeoutS, TimeUnit.SECONDS) ? process.exitValue() : -1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            resume();
            kill();
        }
    }

    /*
     * Public API
     */

    /** Returns the process id. */
    public long pid() {
        return process.pid();
    }

    /** Tells whether the process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the folder of the repository: the closest folder above the working directory with the scripts. */
    public static Path findRoot() {
        Path folder = Path.of("").toAbsolutePath();
        while (folder != null && !Files.isExecutable(folder.resolve("bin/fulmard"))) {
            folder = folder.getParent();
        }
        if (folder == null) {
            throw new IllegalStateException("no bin/fulmard above the working directory; run inside the repository");
        }
        return folder;
    }

    /*
     * Helpers
     */

    private void signal(String signal) {
        try {
            Process kill = new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
            kill.waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readOutput() {
        try (BufferedReader in =
                        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
                var out = Files.newBufferedWriter(output)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                out.write(line);
                out.newLine();
                out.flush();
                if (!ready.isDone() && line.startsWith("{") && line.contains("\"ready\"")) {
                    ready.complete(JSON.readTree(line));
                }
            }
            ready.completeExceptionally(new IOException("the process ended"));
        } catch (IOException e) {
            ready.completeExceptionally(e);
        }
    }
}
