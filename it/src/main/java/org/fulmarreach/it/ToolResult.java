package org.fulmarreach.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Result of one run of the command-line tool {@code fulmarctl}. Immutable.
 *
 * @param exitCode exit code
 * @param output combined standard output and standard error
 */
public record ToolResult(int exitCode, String output) {
    static ToolResult run(Path directory, String entries, List<String> args) {
        List<String> command = new ArrayList<>();
        command.add(ManagedProcess.findRoot().resolve("bin/fulmarctl").toString());
        command.addAll(args);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.directory(directory.toFile());
        builder.environment().put("FULMARREACH_ENTRY", entries);
        try {
            Process process = builder.start();
            process.getOutputStream().close();
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return new ToolResult(process.waitFor(), output);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
