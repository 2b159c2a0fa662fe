package org.fulmarreach.entry.peers;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.entry.calls.CallRequest;
import org.fulmarreach.entry.calls.CallResults;
import org.fulmarreach.platform.LogBatch;
import org.fulmarreach.platform.LogRead;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Call;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.protocol.thrift.Failure;
import org.fulmarreach.protocol.thrift.LogRecord;
import org.fulmarreach.protocol.thrift.Outcome;
import org.fulmarreach.protocol.thrift.ReadLog;
import org.fulmarreach.protocol.thrift.ReadLogResult;
import org.fulmarreach.protocol.thrift.Resolve;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.util.MonotonicClock;

/** Handles the requests of peers: forwarded calls and reads of the log. Stateless and thread-safe. */
final class PeerRequests {
    private static final int MAX_RECORD_BYTES = 2 * 1024 * 1024;
    private static final int MAX_RECORDS = 1_024;
    private static final long RESOLVE_TIMEOUT_MS = 2_000;

    private final PeerDependencies dependencies;
    private final MonotonicClock clock;

    PeerRequests(PeerDependencies dependencies, MonotonicClock clock) {
        this.dependencies = dependencies;
        this.clock = clock;
    }

    void receive(FrameLink link, long correlationId, Body body) {
        if (body.isSetForwardCall()
                && body.getForwardCall().getCall().getMethod().isEmpty()) {
            mintId(link, correlationId, body.getForwardCall().getCall().getServiceName());
        } else if (body.isSetForwardCall()) {
            submit(link, correlationId, toRequest(body.getForwardCall().getCall()));
        } else if (body.isSetResolve()) {
            submit(link, correlationId, toRefusal(body.getResolve()));
        } else {
            read(link, correlationId, body.getReadLog());
        }
    }

    private void submit(FrameLink link, long correlationId, CallRequest request) {
        dependencies.calls().submitForwarded(request, answer -> {
            CallResult result = CallResults.toFrame(answer);
            link.send(
                    correlationId,
                    result == null
                            ? Body.failure(
                                    new Failure(ErrorCode.NO_TARGET.name(), "this region did not accept the call"))
                            : Body.callResult(result));
        });
    }

    /** Handles a forwarded call without a method, which is a request for a new request id of its service. */
    private void mintId(FrameLink link, long correlationId, String service) {
        dependencies.calls().mintLocalId(service, result -> {
            Body answer = switch (result) {
                case Result.Ok<String> ok ->
                    Body.callResult(new CallResult().setOutcome(Outcome.RUN).setRequestId(ok.value()));
                case Result.Err<String> err ->
                    Body.failure(new Failure(
                            err.problem().code().name(), err.problem().message()));
            };
            link.send(correlationId, answer);
        });
    }

    private CallRequest toRequest(Call call) {
        return new CallRequest(
                call.getRequestId() == null ? "" : call.getRequestId(),
                call.getServiceName(),
                call.getMethod(),
                call.getPath(),
                call.getHeaders(),
                call.getBody(),
                call.getMember(),
                call.isIdempotent(),
                clock.nowMs() + call.getRemainingMs(),
                true,
                null);
    }

    private CallRequest toRefusal(Resolve resolve) {
        return new CallRequest(
                resolve.getRequestId(),
                "",
                "",
                "",
                List.of(),
                new byte[0],
                "",
                false,
                clock.nowMs() + RESOLVE_TIMEOUT_MS,
                true,
                Problem.of(ErrorCode.BUDGET_EXHAUSTED, "the entry that received the call refused it")
                        .withRetryAfterMs(1_000));
    }

    private void read(FrameLink link, long correlationId, ReadLog read) {
        int maxRecords = Math.max(1, Math.min(read.getMaxRecords(), MAX_RECORDS));
        dependencies
                .log()
                .read(read.getStream(), read.getFromOffset(), maxRecords, read.getWaitMs())
                .whenComplete((found, failure) -> {
                    ReadLogResult result = failure == null
                            ? toResult(read, found)
                            : new ReadLogResult(0, 0, List.of()).setError(String.valueOf(failure.getMessage()));
                    link.send(correlationId, Body.readLogResult(result));
                });
    }

    private static ReadLogResult toResult(ReadLog read, LogRead found) {
        return switch (found) {
            case LogRead.Truncated truncated ->
                new ReadLogResult(truncated.firstOffset(), truncated.firstOffset(), List.of());
            case LogRead.Batch batch -> toResult(read, batch.batch());
        };
    }

    private static ReadLogResult toResult(ReadLog read, LogBatch batch) {
        List<LogRecord> records = new ArrayList<>();
        long bytes = 0;
        long next = batch.nextOffset();
        for (LogBatch.Entry entry : batch.records()) {
            bytes += entry.data().length;
            if (bytes > MAX_RECORD_BYTES && !records.isEmpty()) {
                next = entry.offset();
                break;
            }
            records.add(new LogRecord(entry.offset(), java.nio.ByteBuffer.wrap(entry.data())));
        }
        // The peer interprets a first offset above the requested one as a truncated stream.
        return new ReadLogResult(Math.min(batch.firstOffset(), read.getFromOffset()), next, records);
    }
}
