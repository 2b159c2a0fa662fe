package org.fulmarreach.guard;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.platform.HttpField;
import org.fulmarreach.platform.TargetReply;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.protocol.thrift.Header;
import org.fulmarreach.protocol.thrift.Outcome;

/**
 * A complete answer of the target, cached for repeated calls. Immutable; the body is not copied.
 *
 * @param reply the answer
 * @param serviceMs time until the target answered, in milliseconds
 */
record CachedAnswer(TargetReply.Whole reply, int serviceMs) {
    private static final int ESTIMATED_OVERHEAD_BYTES = 128;

    long sizeBytes() {
        long bytes = ESTIMATED_OVERHEAD_BYTES + reply.body().length;
        for (HttpField field : reply.headers()) {
            bytes += ESTIMATED_OVERHEAD_BYTES
                    + field.name().length()
                    + field.value().length();
        }
        return bytes;
    }

    CallResult toResult(String requestId, boolean repeated) {
        List<Header> headers = new ArrayList<>(reply.headers().size());
        for (HttpField field : reply.headers()) {
            headers.add(new Header(field.name(), field.value()));
        }
        return new CallResult()
                .setRequestId(requestId)
                .setOutcome(Outcome.RUN)
                .setStatus(reply.status())
                .setHeaders(headers)
                .setBody(reply.body())
                .setRetryAfterMs(0)
                .setRepeated(repeated)
                .setServiceMs(serviceMs);
    }
}
