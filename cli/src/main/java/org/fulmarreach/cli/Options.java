package org.fulmarreach.cli;

import java.net.URI;
import java.util.List;

/**
 * The parsed command line. Immutable.
 *
 * @param command name of the command
 * @param operand file or name that the command applies to; null if the command has none
 * @param entries base addresses of entries in the order in which they are tried
 * @param token operator token; null if none is set
 * @param json whether the output is JSON
 * @param timeoutMs timeout of the whole command in milliseconds
 * @param waitForSites whether to wait until the rules are in force at all sites
 * @param baseRevision revision that the file is based on; negative if it is not given
 * @param operator name of the publishing operator
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
