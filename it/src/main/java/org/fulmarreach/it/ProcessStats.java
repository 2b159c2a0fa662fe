package org.fulmarreach.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Memory and processor time of a process as reported by Linux in {@code /proc}. Immutable.
 *
 * @param rssKb resident memory in KiB
 * @param anonymousKb resident anonymous memory, without file-backed pages, in KiB
 * @param cpuMs processor time used since its start in milliseconds
 */
public record ProcessStats(long rssKb, long anonymousKb, long cpuMs) {
    private static final long MS_PER_CLOCK_TICK = 10;
    private static final int USER_TIME_FIELD_INDEX = 11;

    /** Reads the current values of a process. */
    public static ProcessStats read(long pid) {
        try {
            String status = Files.readString(Path.of("/proc/" + pid + "/status"));
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            long ticks =
                    Long.parseLong(fields[USER_TIME_FIELD_INDEX]) + Long.parseLong(fields[USER_TIME_FIELD_INDEX + 1]);
            return new ProcessStats(
                    findStatusKb(status, "VmRSS"), findStatusKb(status, "RssAnon"), ticks * MS_PER_CLOCK_TICK);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Triggers a collection in a JVM that uses the serial collector and returns its used heap in KiB, by means of jcmd.
     */
    public static long readLiveHeapKb(long pid) {
        runJcmd(pid, "GC.run");
        Matcher generationLine =
                Pattern.compile("(?:DefNew|Tenured)\\s.*used (\\d+)K").matcher(runJcmd(pid, "GC.heap_info"));
        long sumKb = 0;
        while (generationLine.find()) {
            sumKb += Long.parseLong(generationLine.group(1));
        }
        return sumKb;
    }

    private static String runJcmd(long pid, String command) {
        try {
            Path tool = Path.of(System.getProperty("java.home"), "bin", "jcmd");
            Process process = new ProcessBuilder(tool.toString(), Long.toString(pid), command)
                    .redirectErrorStream(true)
                    .start();
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            process.waitFor();
            return output;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private static long findStatusKb(String status, String name) {
        Matcher matcher = Pattern.compile(name + ":\\s+(\\d+) kB").matcher(status);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
    }
}
