package org.fulmarreach.guard;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.platform.HttpField;
import org.fulmarreach.platform.TargetReply;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.protocol.thrift.Header;
import org.fulmarreach.protocol.thrift.Outcome;

/**
 * A whole answer of the target, kept for repeated calls. Immutable; the body is not copied.
 *
 * @param reply the answer
 * @param serviceMs time that the target took, in milliseconds
 */
record KeptAnswer(TargetReply.Whole reply, int serviceMs) {
    private static final int OVERHEAD_BYTES = 128;

    long sizeBytes() {
        long bytes = OVERHEAD_BYTES + reply.body().length;
        for (HttpField field : reply.headers()) {
            bytes += OVERHEAD_BYTES + field.name().length() + field.value().length();
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
