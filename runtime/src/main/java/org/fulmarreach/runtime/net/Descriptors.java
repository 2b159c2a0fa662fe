package org.fulmarreach.runtime.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The number of connections that the file descriptors of a process allow. Stateless. */
public final class Descriptors {
    private static final Pattern LIMIT = Pattern.compile("Max open files\\s+(\\d+)");

    /** Files of the class path, and connections that this process opens itself. */
    private static final int RESERVED = 256;

    /** The reserve takes at most this part, so that few descriptors still leave connections for clients. */
    private static final int RESERVED_PARTS = 2;

    private Descriptors() {}

    /**
     * Returns the descriptors that a process may use.
     *
     * @param stated the number in the settings of the process; 0 if they state none. It takes precedence, because the
     *     operating system's limit can be that of a surrounding process
     * @return the stated number, or the limit of the operating system; {@link Integer#MAX_VALUE} if neither is known
     */
    public static int allowed(int stated) {
        return stated > 0 ? stated : readLimit();
    }

    /**
     * Returns {@code wanted} connections, or as many as leave a reserve of descriptors.
     *
     * @param wanted wanted number of connections
     * @param descriptors descriptors that the process may use
     */
    public static int limitConnections(int wanted, int descriptors) {
        int reserved = Math.min(RESERVED, descriptors / RESERVED_PARTS);
        return Math.clamp(descriptors - reserved, 1, wanted);
    }

    private static int readLimit() {
        try {
            Matcher matcher = LIMIT.matcher(Files.readString(Path.of("/proc/self/limits")));
            return matcher.find()
                    ? (int) Math.min(Integer.MAX_VALUE, Long.parseLong(matcher.group(1)))
                    : Integer.MAX_VALUE;
        } catch (IOException e) {
            // Only Linux lists the limit here; elsewhere the configured number of connections applies.
            return Integer.MAX_VALUE;
        }
    }
}
