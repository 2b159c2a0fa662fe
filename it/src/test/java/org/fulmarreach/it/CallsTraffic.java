package org.fulmarreach.it;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Closed-loop load: each caller sends calls one after the other until it is stopped. A call without a response is
 * retried with the same id through the other entries, while the earlier attempts stay open for late responses.
 * Thread-safe.
 */
final class CallsTraffic implements AutoCloseable {
    private static final int MAX_ATTEMPTS = 8;
    private static final long ID_TIMEOUT_MS = 1_500;
    private static final long PAUSE_MS = 20;

    private final Deployment deployment;
    private final CallsClient client;
    private final Options options;
    private final List<Thread> threads = new ArrayList<>();
    private final ConcurrentLinkedQueue<Call> calls = new ConcurrentLinkedQueue<>();
    private final AtomicInteger callCount = new AtomicInteger();
    private volatile boolean stopped;

    /**
     * Behaviour of the callers.
     *
     * @param callers number of callers
     * @param seed seed of the random choice of entries, response sizes and kinds of calls
     * @param deadlineMs deadline of each call in milliseconds
     * @param idempotentShare fraction of idempotent calls, which have no request id
     * @param entries indexes of the entries to call
     * @param retries whether a call without a response is retried through another entry
     */
    record Options(
            int callers, long seed, long deadlineMs, double idempotentShare, List<Integer> entries, boolean retries) {}

    /**
     * One call with its attempts.
     *
     * @param id request id; empty for an idempotent call
     * @param sentAtMs time of the first attempt, in milliseconds of the wall clock
     * @param attempts attempts in order
     */
    record Call(String id, long sentAtMs, List<CompletableFuture<CallsClient.Attempt>> attempts) {}

    private CallsTraffic(Deployment deployment, CallsClient client, Options options) {
        this.deployment = deployment;
        this.client = client;
        this.options = options;
    }

    static CallsTraffic start(Deployment deployment, CallsClient client, Options options) {
        CallsTraffic traffic = new CallsTraffic(deployment, client, options);
        for (int i = 0; i < options.callers(); i++) {
            Random random = new Random(options.seed() * 1_000 + i);
            traffic.threads.add(Thread.ofVirtual().start(() -> traffic.run(random)));
        }
        return traffic;
    }

    /** Returns the number of calls started so far that meet a condition. */
    long count(Predicate<Call> condition) {
        return calls.stream().filter(condition).count();
    }

    /** Returns the number of calls that have a complete response so far. */
    long countWhole() {
        return count(call -> call.attempts().stream()
                .anyMatch(attempt -> attempt.isDone() && attempt.join().outcome() == CallsClient.Outcome.WHOLE));
    }

    /** Stops the callers after their current calls and waits for all responses, including late ones. */
    List<Call> finish(long timeoutS) throws Exception {
        stopped = true;
        for (Thread thread : threads) {
            if (!thread.join(java.time.Duration.ofSeconds(timeoutS))) {
                throw new IllegalStateException("a caller did not finish within " + timeoutS + " s");
            }
        }
        CompletableFuture<?>[] open =
                calls.stream().flatMap(call -> call.attempts().stream()).toArray(CompletableFuture[]::new);
        CompletableFuture.allOf(open).get(timeoutS, TimeUnit.SECONDS);
        return List.copyOf(calls);
    }

    /** Returns all attempts of calls that have finished. */
    static Stream<CallsClient.Attempt> attemptsOf(List<Call> finished) {
        return finished.stream().flatMap(call -> call.attempts().stream()).map(CompletableFuture::join);
    }

    @Override
    public void close() {
        stopped = true;
        threads.forEach(Thread::interrupt);
    }

    private void run(Random random) {
        try {
            while (!stopped) {
                int first =
                        options.entries().get(random.nextInt(options.entries().size()));
                boolean idempotent = random.nextDouble() < options.idempotentShare();
                int bytes = 700 + random.nextInt(4_000);
                String id = idempotent ? "" : client.createId(deployment.entry(first), ID_TIMEOUT_MS);
                if (id.isEmpty() && !idempotent) {
                    Thread.sleep(PAUSE_MS);
                    continue;
                }
                String path = (idempotent ? "/stock/" : "/checkout/") + callCount.incrementAndGet() + "?bytes=" + bytes;
                Call call = new Call(id, System.currentTimeMillis(), new java.util.concurrent.CopyOnWriteArrayList<>());
                calls.add(call);
                attempt(call, first, path, bytes);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    private void attempt(Call call, int first, String path, int bytes) throws InterruptedException, ExecutionException {
        int maxAttempts = options.retries() ? MAX_ATTEMPTS : 1;
        for (int i = 0; i < maxAttempts; i++) {
            int entryIndex =
                    (options.entries().indexOf(first) + i) % options.entries().size();
            CompletableFuture<CallsClient.Attempt> attempt = client.call(
                    deployment.entry(options.entries().get(entryIndex)), call.id(), path, bytes, options.deadlineMs());
            call.attempts().add(attempt);
            try {
                long waitMs = options.retries() ? options.deadlineMs() + 300 : 60_000;
                CallsClient.Outcome outcome =
                        attempt.get(waitMs, TimeUnit.MILLISECONDS).outcome();
                if (outcome != CallsClient.Outcome.NOTHING && outcome != CallsClient.Outcome.REJECTED) {
                    return;
                }
            } catch (TimeoutException e) {
                // The attempt stays open; the next attempt retries the call.
            }
            Thread.sleep(PAUSE_MS);
        }
    }
}
