package org.fulmarreach.entry.jobs;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their virtual times. Confined to one thread. */
final class VirtualTime {
    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparingLong(Action::atMs).thenComparingLong(Action::number));
    private long nowMs;
    private long lastNumber;

    private record Action(long atMs, long number, Runnable body) {}

    long nowMs() {
        return nowMs;
    }

    /** Runs an action at a time; at once, after the present action, if that time has passed. */
    void at(long atMs, Runnable body) {
        actions.add(new Action(Math.max(nowMs, atMs), ++lastNumber, body));
    }

    void runUntil(long untilMs) {
        while (!actions.isEmpty() && actions.peek().atMs() <= untilMs) {
            Action action = actions.poll();
            nowMs = action.atMs();
            action.body().run();
        }
        nowMs = untilMs;
    }

    /** Returns a mailbox whose messages are delivered to a tail. */
    TailMailbox mailbox() {
        return new TailMailbox() {
            @Override
            public void tell(JobsCommand message) {
                at(nowMs, () -> deliver(message));
            }

            @Override
            public void tellAfter(Duration delay, JobsCommand message) {
                at(nowMs + delay.toMillis(), () -> deliver(message));
            }
        };
    }

    private static void deliver(JobsCommand message) {
        switch (message) {
            case JobsCommand.TailRead read ->
                read.tail().onRead(read.generation(), read.number(), read.result(), read.times());
            case JobsCommand.TailOverdue overdue ->
                overdue.tail().onOverdue(overdue.generation(), overdue.number(), overdue.times());
            case JobsCommand.TailDue due -> due.tail().onDue(due.generation());
            default -> throw new IllegalStateException("no message of a tail: " + message);
        }
    }
}
