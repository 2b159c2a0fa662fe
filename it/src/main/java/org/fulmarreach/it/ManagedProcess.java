package org.fulmarreach.it;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
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
 * A child process started through one of the scripts in {@code bin/}. It prints a JSON line when it is ready. Its
 * output is appended to files. Thread-safe.
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
     * @param name name of the process in messages and of its output files
     * @param directory directory of the output files
     * @param script script in {@code bin/}
     * @param args arguments of the script
     * @param environment additional environment variables
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
     * Waits until the process has printed its ready line.
     *
     * @return its ready line
     * @throws IllegalStateException if the process ended or did not become ready within the timeout
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

    /** Kills the process forcibly and waits until it has ended. */
    public void kill() {
        process.destroyForcibly();
        awaitExit(READY_TIMEOUT_S);
    }

    /** Sends SIGTERM and returns immediately. */
    public void terminate() {
        process.destroy();
    }

    /** Suspends the process with SIGSTOP until {@link #resume()}. */
    public void pause() {
        signal("-STOP");
    }

    /** Resumes a suspended process with SIGCONT. */
    public void resume() {
        signal("-CONT");
    }

    /**
     * Waits until the process has ended.
     *
     * @param timeoutS timeout in seconds
     * @return its exit code, or -1 if it is still running
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

    /** Returns whether the process is running. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Returns the root of the repository: the closest directory, from the working directory upwards, with the scripts.
     */
    public static Path findRoot() {
        Path directory = Path.of("").toAbsolutePath();
        while (directory != null && !Files.isExecutable(directory.resolve("bin/fulmard"))) {
            directory = directory.getParent();
        }
        if (directory == null) {
            throw new IllegalStateException(
                    "no bin/fulmard in the working directory or above it; run inside the repository");
        }
        return directory;
    }

    /*
     * Helpers
     */

    private void signal(String signal) {
        if (!process.isAlive()) {
            return;
        }
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
                var out = Files.newBufferedWriter(output, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
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
