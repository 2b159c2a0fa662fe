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
 * Callers in a closed loop that make calls until they are stopped. A call that got no answer is repeated with its id
 * through the other entries, while the first attempt stays open for a late answer. Thread-safe.
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
    private final AtomicInteger number = new AtomicInteger();
    private volatile boolean stopped;

    /**
     * How the callers behave.
     *
     * @param callers number of callers
     * @param seed seed of entries, sizes and kinds
     * @param deadlineMs deadline of each call
     * @param idempotentShare share of calls without an id
     * @param entries indexes of the entries to call
     * @param retries whether a call without an answer is repeated through another entry
     */
    record Options(
            int callers, long seed, long deadlineMs, double idempotentShare, List<Integer> entries, boolean retries) {}

    /**
     * One call with its attempts.
     *
     * @param id request id; empty for an idempotent call
     * @param sentAtMs wall clock of the first attempt
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

    /** Returns the number of calls begun until now that meet a condition. */
    long count(Predicate<Call> condition) {
        return calls.stream().filter(condition).count();
    }

    /** Returns the number of calls that have a whole answer until now. */
    long countWhole() {
        return count(call -> call.attempts().stream()
                .anyMatch(attempt -> attempt.isDone() && attempt.join().told() == CallsClient.Told.WHOLE));
    }

    /** Lets the callers finish their present calls and waits for all answers, also late ones. */
    List<Call> finish(long timeoutS) throws Exception {
        stopped = true;
        for (Thread thread : threads) {
            if (!thread.join(java.time.Duration.ofSeconds(timeoutS))) {
                throw new IllegalStateException("a caller did not finish");
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
                String path = (idempotent ? "/stock/" : "/checkout/") + number.incrementAndGet() + "?bytes=" + bytes;
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
        int allowed = options.retries() ? MAX_ATTEMPTS : 1;
        for (int i = 0; i < allowed; i++) {
            int place =
                    (options.entries().indexOf(first) + i) % options.entries().size();
            CompletableFuture<CallsClient.Attempt> attempt = client.call(
                    deployment.entry(options.entries().get(place)), call.id(), path, bytes, options.deadlineMs());
            call.attempts().add(attempt);
            try {
                long waitMs = options.retries() ? options.deadlineMs() + 300 : 60_000;
                CallsClient.Told told =
                        attempt.get(waitMs, TimeUnit.MILLISECONDS).told();
                if (told != CallsClient.Told.NOTHING && told != CallsClient.Told.REJECTED) {
                    return;
                }
            } catch (TimeoutException e) {
                // The attempt stays open; the next one repeats the call.
            }
            Thread.sleep(PAUSE_MS);
        }
    }
}
