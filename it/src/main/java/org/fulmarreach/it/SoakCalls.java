package org.fulmarreach.it;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Callers of the soak run. Each caller repeatedly requests an id, sends a non-idempotent call, and retries it with the
 * same id through the next entry if it gets no response. Thread-safe.
 */
final class SoakCalls implements AutoCloseable {
    /** Outcome of a call as reported to its caller. */
    enum Outcome {
        /** A complete response was received. */
        RUN,
        /** An entry stated that the call did not run and never will. */
        NOT_RUN,
        /** The caller does not know whether the call ran. */
        UNKNOWN
    }

    private static final long PAUSE_MS = 40;
    private static final long DEADLINE_MS = 2_000;
    private static final int ATTEMPTS = 2;

    private final Http http = new Http();
    private final List<String> callers;
    private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> wrongResponses = new ConcurrentLinkedQueue<>();
    private final AtomicInteger refusedIds = new AtomicInteger();
    private final List<Thread> threads;
    private volatile boolean stopped;

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
                        Thread.ofPlatform().daemon().name("caller-" + index).start(() -> callUntilStopped(index)))
                .toList();
    }

    /** Stops the callers and waits until their last calls have completed. */
    @Override
    public void close() {
        stopped = true;
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

    /** Returns a description of each response that does not match its call or is not JSON. */
    List<String> wrongResponses() {
        return List.copyOf(wrongResponses);
    }

    /** Returns the number of calls that were not sent because no request id was issued. */
    int refusedIds() {
        return refusedIds.get();
    }

    /** Sends one call through an entry and returns whether it succeeded. */
    boolean succeeds(String caller) {
        try {
            return send(caller, http.createRequestId(caller, "bestellung")) == Outcome.RUN;
        } catch (RuntimeException e) {
            return false;
        }
    }

    private void callUntilStopped(int index) {
        for (int i = index; !stopped; i++) {
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
        Outcome outcome = classify(answer, id);
        outcomes.put(id, outcome);
        return outcome;
    }

    private Outcome classify(Http.Answer answer, String id) {
        JsonNode body;
        try {
            body = answer.json();
        } catch (RuntimeException e) {
            wrongResponses.add(id + " got " + answer.status() + " with a body that is not JSON");
            return Outcome.UNKNOWN;
        }
        if (answer.status() == 200) {
            boolean isOwnResponse = body.path("requestId").asText().equals(id)
                    && body.path("path").asText().contains("checkout")
                    && answer.body().length() == 400;
            if (!isOwnResponse) {
                wrongResponses.add(id + " got a response that does not match the call: " + answer.body());
            }
            return Outcome.RUN;
        }
        return body.path("outcome").asText().equals("not_run") ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    }
}
