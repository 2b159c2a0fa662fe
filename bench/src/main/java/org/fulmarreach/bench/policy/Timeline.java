package org.fulmarreach.bench.policy;

import java.util.PriorityQueue;

/** Event queue in virtual time; events of the same millisecond run in the order in which they were scheduled. */
final class Timeline {
    private record Timed(long atMs, long order, Runnable event) implements Comparable<Timed> {
        @Override
        public int compareTo(Timed other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Timed> events = new PriorityQueue<>(4_096);
    private long order;
    private long nowMs;

    long nowMs() {
        return nowMs;
    }

    void after(long delayMs, Runnable event) {
        events.add(new Timed(nowMs + Math.max(0, delayMs), order++, event));
    }

    void at(long atMs, Runnable event) {
        after(atMs - nowMs, event);
    }

    /** Runs an event immediately and then once per period. */
    void every(long periodMs, Runnable event) {
        event.run();
        after(periodMs, () -> every(periodMs, event));
    }

    void runUntil(long untilMs) {
        while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
            Timed next = events.poll();
            nowMs = next.atMs();
            next.event().run();
        }
        nowMs = untilMs;
    }
}
