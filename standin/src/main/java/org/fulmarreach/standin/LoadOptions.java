package org.fulmarreach.standin;

import java.util.List;

import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Options of the load tool. Immutable.
 *
 * @param entries addresses of entries, or of targets when {@code direct}
 * @param service name of the service
 * @param servicePath path of the request below the service
 * @param method HTTP method
 * @param rate calls per second; 0 to send as fast as the concurrency allows
 * @param durationMs time span in which calls are scheduled, in milliseconds
 * @param warmupMs initial part of the duration that is excluded from the latencies, in milliseconds
 * @param concurrency maximum number of concurrent calls
 * @param idempotent whether a call may run twice; if not, a request id is requested from the entry before each call
 * @param retryOtherEntry whether a call without a response is retried with the same id through the next entry
 * @param direct whether calls go directly to targets
 * @param deadlineMs value of the header {@code Deadline-Ms}
 * @param timeoutMs timeout of one HTTP request, in milliseconds
 * @param answerBytes requested size of the response body
 * @param bodyBytes size of the request body
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
        // Load must stay on this machine: parsing fails for any address other than 127.0.0.1.
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
