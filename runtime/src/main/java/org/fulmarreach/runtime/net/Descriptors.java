package org.fulmarreach.runtime.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The number of file descriptors that the operating system allows this process. Stateless. */
final class Descriptors {
    private static final Pattern LIMIT = Pattern.compile("Max open files\\s+(\\d+)");

    /** Files of the class path, and connections that this process opens itself. */
    private static final int RESERVED = 256;

    private Descriptors() {}

    /** Returns {@code wanted} connections, or as many as leave a reserve of descriptors. */
    static int limitConnections(int wanted) {
        try {
            Matcher matcher = LIMIT.matcher(Files.readString(Path.of("/proc/self/limits")));
            return matcher.find() ? (int) Math.clamp(Long.parseLong(matcher.group(1)) - RESERVED, 1, wanted) : wanted;
        } catch (IOException e) {
            // Only Linux lists the limit here; elsewhere the configured number applies.
            return wanted;
        }
    }
}
