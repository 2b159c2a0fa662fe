package org.fulmarreach.entry.calls;

import java.util.List;

import org.fulmarreach.protocol.thrift.Header;

/**
 * A call as a caller sent it. Immutable; the body is not copied and must not be changed.
 *
 * @param requestId id that the caller brought; empty if none
 * @param service name of the service
 * @param rulePath decoded path without query, by which the rule is found
 * @param method HTTP method
 * @param targetPath path with query for the target, as sent
 * @param headers headers for the target
 * @param body whole body
 * @param deadlineMs time left that the caller asked for in milliseconds; 0 for the rule's
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
