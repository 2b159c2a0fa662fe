package review.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system, started with the {@code run} line of its role in deploy/system.toml. */
public final class Node {
    private final String name;
    private final String role;
    private final Path settingsFile;
    private final Path logFile;
    private final Record record;
    private Process process;

    Node(String name, String role, Map<String, Object> settings, Path folder, Record record) throws IOException {
        this.name = name;
        this.role = role;
        this.record = record;
        settingsFile = folder.resolve(name + ".json");
        logFile = folder.resolve(name + ".log");
        Files.writeString(settingsFile, Json.write(settings));
    }

    public String name() {
        return name;
    }

    /** Starts the process. */
    public void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("FULMARREACH_NODE_FILE", settingsFile.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
        process = builder.start();
        record.line("platform: starts " + name + ", pid " + process.pid());
    }

    /** Sends SIGKILL and waits for the end. */
    public void kill() throws InterruptedException {
        record.line("platform: SIGKILL to " + name);
        process.destroyForcibly();
        process.waitFor();
    }

    /** Sends a signal by name, as STOP or CONT. */
    public void signal(String signal) throws IOException, InterruptedException {
        record.line("platform: SIG" + signal + " to " + name);
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    /** Returns whether the process runs. */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    void end() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private List<String> command() throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "]\\s*run = \"([^\"]*)\"").matcher(deploy);
        if (!run.find()) {
            throw new IOException("no role " + role + " in deploy/system.toml");
        }
        return new ArrayList<>(List.of(run.group(1).split(" ")));
    }
}
