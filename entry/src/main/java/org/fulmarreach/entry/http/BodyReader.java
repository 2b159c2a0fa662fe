package org.fulmarreach.entry.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.RequestEntity;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.stream.javadsl.Sink;
import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;

/**
 * Reads request bodies with limits on the size and the read time of each, and on the memory of all together.
 * Thread-safe.
 */
final class BodyReader {
    /** Time within which a body must arrive, so that slow senders cannot occupy memory. */
    static final long READ_TIMEOUT_MS = 5_000;

    /** Maximum memory reserved for the bodies of all requests in progress, in bytes. */
    static final long MAX_RESERVED_BYTES = 64L << 20;

    private static final int TIMEOUT = 408;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;

    private final ActorSystem<?> system;
    private final int maxBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    BodyReader(ActorSystem<?> system, int maxBytes) {
        this.system = system;
        this.maxBytes = maxBytes;
    }

    /** Returns the bytes reserved for the requests in progress. */
    long reservedBytes() {
        return reservedBytes.get();
    }

    /**
     * Reads the body and passes it to {@code handler}. The memory for the body stays reserved until the handler has
     * responded.
     */
    CompletionStage<HttpResponse> read(HttpRequest request, Function<byte[], CompletionStage<HttpResponse>> handler) {
        RequestEntity entity = request.entity();
        long reservedForBody = entity.getContentLengthOption().orElse(maxBytes);
        if (reservedForBody > maxBytes) {
            return refuse(request, TOO_LARGE, tooLarge());
        }
        if (reservedBytes.addAndGet(reservedForBody) > MAX_RESERVED_BYTES) {
            reservedBytes.addAndGet(-reservedForBody);
            Problem full =
                    Problem.of(ErrorCode.NO_CAPACITY, "the memory for request bodies is used up by other requests");
            return refuse(request, UNAVAILABLE, full.withRetryAfterMs(1_000));
        }
        return entity.withSizeLimit(maxBytes)
                .toStrict(READ_TIMEOUT_MS, system)
                .thenCompose(strict -> handler.apply(strict.getData().toArray()))
                .handle((response, failure) -> {
                    reservedBytes.addAndGet(-reservedForBody);
                    return failure == null ? response : toError(failure);
                });
    }

    private HttpResponse toError(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        if (cause instanceof EntityStreamSizeException) {
            return close(JsonBodies.toError(TOO_LARGE, null, tooLarge()));
        }
        if (cause instanceof TimeoutException) {
            Problem slow =
                    Problem.of(ErrorCode.BAD_REQUEST, "the body did not arrive within " + READ_TIMEOUT_MS + " ms");
            return close(JsonBodies.toError(TIMEOUT, null, slow));
        }
        throw new CompletionException(cause);
    }

    private Problem tooLarge() {
        return Problem.of(ErrorCode.TOO_LARGE, "the body exceeds the limit of " + maxBytes + " bytes");
    }

    private CompletionStage<HttpResponse> refuse(HttpRequest request, int status, Problem problem) {
        request.entity().getDataBytes().runWith(Sink.cancelled(), system);
        return CompletableFuture.completedFuture(close(JsonBodies.toError(status, null, problem)));
    }

    /** Marks the connection to be closed: the rest of the body is not read, so it cannot be reused. */
    private static HttpResponse close(HttpResponse response) {
        return response.addHeader(RawHeader.create("Connection", "close"));
    }
}
