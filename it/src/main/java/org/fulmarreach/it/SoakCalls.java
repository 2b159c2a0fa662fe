package org.fulmarreach.it;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Callers of the soak run: each gets an id, sends a non-idempotent call, and sends it again with the same id through
 * the next entry when it got no answer. Thread-safe.
 */
final class SoakCalls implements AutoCloseable {
    /** Outcome of a call for its caller. */
    enum Outcome {
        /** Whole answer. */
        RUN,
        /** An entry stated that it did not run and never will. */
        NOT_RUN,
        /** Whether it ran is not known to the caller. */
        UNKNOWN
    }

    private static final long PAUSE_MS = 40;
    private static final long DEADLINE_MS = 2_000;
    private static final int ATTEMPTS = 2;

    private final Http http = new Http();
    private final List<String> callers;
    private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> wrong = new ConcurrentLinkedQueue<>();
    private final AtomicInteger refusedIds = new AtomicInteger();
    private final List<Thread> threads;
    private volatile boolean ends;

    /**
     * Starts the callers.
     *
     * @param callers addresses of the entries for callers
     * @param count number of callers
     */
    SoakCalls(List<String> callers, int count) {
        this.callers = callers;
        this.threads = IntStream.range(0, count)
                .mapToObj(index ->
                        Thread.ofPlatform().daemon().name("caller-" + index).start(() -> callOften(index)))
                .toList();
    }

    /** Ends the callers and waits for their last calls. */
    @Override
    public void close() {
        ends = true;
        try {
            for (Thread thread : threads) {
                thread.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the outcomes by request id. */
    Map<String, Outcome> outcomes() {
        return outcomes;
    }

    /** Returns the answers that were not those of the call, or damaged. */
    List<String> wrong() {
        return List.copyOf(wrong);
    }

    /** Returns the number of calls for which no entry gave an id; they were not sent. */
    int refusedIds() {
        return refusedIds.get();
    }

    /** Tells whether one call through an entry succeeds now. */
    boolean succeeds(String caller) {
        try {
            return send(caller, http.createRequestId(caller, "bestellung")) == Outcome.RUN;
        } catch (RuntimeException e) {
            return false;
        }
    }

    private void callOften(int index) {
        for (int i = index; !ends; i++) {
            try {
                call(i);
                Thread.sleep(PAUSE_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void call(int first) {
        String id;
        try {
            id = http.createRequestId(callers.get(first % callers.size()), "bestellung");
        } catch (RuntimeException e) {
            refusedIds.incrementAndGet();
            return;
        }
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            try {
                send(callers.get((first + attempt) % callers.size()), id);
                return;
            } catch (RuntimeException e) {
                outcomes.put(id, Outcome.UNKNOWN);
            }
        }
    }

    private Outcome send(String caller, String id) {
        outcomes.putIfAbsent(id, Outcome.UNKNOWN);
        Http.Answer answer = http.call(caller, "bestellung/checkout?bytes=400", id, DEADLINE_MS);
        Outcome outcome = judge(answer, id);
        outcomes.put(id, outcome);
        return outcome;
    }

    private Outcome judge(Http.Answer answer, String id) {
        JsonNode body;
        try {
            body = answer.json();
        } catch (RuntimeException e) {
            wrong.add(id + " got " + answer.status() + " with a damaged body");
            return Outcome.UNKNOWN;
        }
        if (answer.status() == 200) {
            boolean own = body.path("requestId").asText().equals(id)
                    && body.path("path").asText().contains("checkout")
                    && answer.body().length() == 400;
            if (!own) {
                wrong.add(id + " got another answer: " + answer.body());
            }
            return Outcome.RUN;
        }
        return body.path("outcome").asText().equals("not_run") ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    }
}
