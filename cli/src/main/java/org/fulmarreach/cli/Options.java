package org.fulmarreach.cli;

import java.net.URI;
import java.util.List;

/**
 * The parsed command line. Immutable.
 *
 * @param command name of the command
 * @param operand file or name that the command takes; null if it takes none
 * @param entries base addresses of entries in the order in which they are tried
 * @param token operator token; null if none is set
 * @param json whether output is JSON
 * @param timeoutMs time for the whole command in milliseconds
 * @param waitForSites whether to wait until the rules are in force at all sites
 * @param baseRevision revision that the file was edited from; negative if it is not given
 * @param operator who publishes
 */
record Options(
        String command,
        String operand,
        List<URI> entries,
        String token,
        boolean json,
        long timeoutMs,
        boolean waitForSites,
        long baseRevision,
        String operator) {}
