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
 * Reads request bodies within bounds of size, time and memory over all requests. Thread-safe.
 */
final class BodyReader {
    /** A body must arrive within this time, so that slow senders do not hold memory. */
    static final long READ_BOUND_MS = 5_000;

    /** Bytes of bodies that are held at the same time. */
    static final long MAX_HELD_BYTES = 64L << 20;

    private static final int TIMEOUT = 408;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;

    private final ActorSystem<?> system;
    private final int maxBytes;
    private final AtomicLong heldBytes = new AtomicLong();

    BodyReader(ActorSystem<?> system, int maxBytes) {
        this.system = system;
        this.maxBytes = maxBytes;
    }

    /** Returns the bytes held now. */
    long heldBytes() {
        return heldBytes.get();
    }

    /** Reads the body and passes it to {@code handler}; the bytes count as held until the handler's answer is there. */
    CompletionStage<HttpResponse> read(HttpRequest request, Function<byte[], CompletionStage<HttpResponse>> handler) {
        RequestEntity entity = request.entity();
        long declared = entity.getContentLengthOption().orElse(maxBytes);
        if (declared > maxBytes) {
            return refuse(request, TOO_LARGE, tooLarge());
        }
        if (heldBytes.addAndGet(declared) > MAX_HELD_BYTES) {
            heldBytes.addAndGet(-declared);
            Problem full = Problem.of(ErrorCode.NO_CAPACITY, "bodies of other calls fill the memory for them");
            return refuse(request, UNAVAILABLE, full.withRetryAfterMs(1_000));
        }
        return entity.withSizeLimit(maxBytes)
                .toStrict(READ_BOUND_MS, system)
                .thenCompose(strict -> handler.apply(strict.getData().toArray()))
                .handle((response, failure) -> {
                    heldBytes.addAndGet(-declared);
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
            Problem slow = Problem.of(ErrorCode.BAD_REQUEST, "the body did not arrive within " + READ_BOUND_MS + " ms");
            return close(JsonBodies.toError(TIMEOUT, null, slow));
        }
        throw new CompletionException(cause);
    }

    private Problem tooLarge() {
        return Problem.of(ErrorCode.TOO_LARGE, "the body is over the limit of " + maxBytes + " bytes");
    }

    private CompletionStage<HttpResponse> refuse(HttpRequest request, int status, Problem problem) {
        request.entity().getDataBytes().runWith(Sink.cancelled(), system);
        return CompletableFuture.completedFuture(close(JsonBodies.toError(status, null, problem)));
    }

    /** The rest of the body is not read, so that the connection cannot be used again. */
    private static HttpResponse close(HttpResponse response) {
        return response.addHeader(RawHeader.create("Connection", "close"));
    }
}
