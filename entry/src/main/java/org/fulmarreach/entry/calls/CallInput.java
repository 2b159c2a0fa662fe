package org.fulmarreach.entry.calls;

import java.util.List;

import org.fulmarreach.protocol.thrift.Header;

/**
 * A call as a caller sent it. Immutable; the body is not copied and must not be changed.
 *
 * @param requestId id from the caller's request; empty if there is none
 * @param service name of the service
 * @param rulePath decoded path without query, which selects the rule
 * @param method HTTP method
 * @param targetPath path with query for the target, still encoded as received
 * @param headers headers to pass to the target
 * @param body complete body
 * @param deadlineMs timeout requested by the caller in milliseconds from now; 0 to use that of the rule
 */
public record CallInput(
        String requestId,
        String service,
        String rulePath,
        String method,
        String targetPath,
        List<Header> headers,
        byte[] body,
        long deadlineMs) {}
