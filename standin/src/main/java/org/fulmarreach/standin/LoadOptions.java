package org.fulmarreach.standin;

import java.util.List;

import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Options of the load tool. Immutable.
 *
 * @param entries addresses of entries, or of targets when {@code direct}
 * @param service name of the service
 * @param servicePath path at the service
 * @param method HTTP method
 * @param rate calls a second; 0 for as fast as the concurrency allows
 * @param durationMs time during which calls become due, in milliseconds
 * @param warmupMs first part of the duration, whose latencies are not counted, in milliseconds
 * @param concurrency largest number of calls at the same time
 * @param idempotent whether a call may run twice; if not, each call gets an id from the entry first
 * @param retryOtherEntry whether a call without an answer is sent again with the same id to the next entry
 * @param direct whether the addresses are targets
 * @param deadlineMs value of the header {@code Deadline-Ms}
 * @param timeoutMs bound on one request, in milliseconds
 * @param answerBytes size of the answer asked for
 * @param bodyBytes size of the request's body
 * @param printIds whether to print a line for each call
 */
record LoadOptions(
        List<String> entries,
        String service,
        String servicePath,
        String method,
        double rate,
        long durationMs,
        long warmupMs,
        int concurrency,
        boolean idempotent,
        boolean retryOtherEntry,
        boolean direct,
        long deadlineMs,
        long timeoutMs,
        int answerBytes,
        int bodyBytes,
        boolean printIds) {
    static LoadOptions of(Namespace arguments) {
        List<String> entries = arguments.getList("entries");
        // Load must not leave the machine; this fails for any address but 127.0.0.1.
        entries.forEach(ProxyStandIn::parseAddress);
        return new LoadOptions(
                entries,
                arguments.getString("service"),
                arguments.getString("service_path"),
                arguments.getString("method"),
                arguments.getDouble("rate"),
                TaskSpec.parseMs(arguments.getString("duration")),
                TaskSpec.parseMs(arguments.getString("warmup")),
                arguments.getInt("concurrency"),
                arguments.getBoolean("idempotent"),
                arguments.getBoolean("retry_other_entry"),
                arguments.getBoolean("direct"),
                arguments.getLong("deadline_ms"),
                arguments.getLong("timeout_ms"),
                arguments.getInt("bytes"),
                arguments.getInt("body_bytes"),
                arguments.getBoolean("ids"));
    }
}
