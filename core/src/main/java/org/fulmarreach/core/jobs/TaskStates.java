package org.fulmarreach.core.jobs;

import java.util.AbstractList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.RandomAccess;

/**
 * States of the tasks of a job, in parts of consecutive tasks. Parts in which nothing has happened take no memory, and
 * tasks that are done share equal states. Immutable.
 */
public final class TaskStates extends AbstractList<TaskState> implements RandomAccess {
    /** Number of tasks of each part except the last one. */
    public static final int PART_TASKS = 128;

    private final int size;

    /** Null for a part in which nothing has happened. */
    private final Part[] parts;

    private final int[] phaseCounts = new int[TaskPhase.values().length];

    /** States of consecutive tasks. */
    private record Part(TaskState[] states, int[] phaseCounts) {
        static Part of(TaskState[] states) {
            int[] counts = new int[TaskPhase.values().length];
            boolean initial = true;
            Map<TaskState, TaskState> distinct = new HashMap<>();
            for (int i = 0; i < states.length; i++) {
                if (states[i].phase() == TaskPhase.DONE) {
                    states[i] = distinct.computeIfAbsent(states[i], state -> state);
                }
                counts[states[i].phase().ordinal()]++;
                initial &= states[i].equals(TaskState.INITIAL);
            }
            return initial ? null : new Part(states, counts);
        }
    }

    private TaskStates(int size, Part[] parts) {
        this.size = size;
        this.parts = parts;
        for (int i = 0; i < parts.length; i++) {
            if (parts[i] == null) {
                phaseCounts[TaskState.INITIAL.phase().ordinal()] += partSize(i);
            } else {
                for (int phase = 0; phase < phaseCounts.length; phase++) {
                    phaseCounts[phase] += parts[i].phaseCounts()[phase];
                }
            }
        }
    }

    /** Returns the states of tasks of which none has begun. */
    public static TaskStates initial(int size) {
        return new TaskStates(size, new Part[countParts(size)]);
    }

    /** Returns the states in a list. */
    public static TaskStates copyOf(List<TaskState> states) {
        if (states instanceof TaskStates known) {
            return known;
        }
        Part[] parts = new Part[countParts(states.size())];
        for (int i = 0; i < parts.length; i++) {
            int from = i * PART_TASKS;
            int to = Math.min(states.size(), from + PART_TASKS);
            parts[i] = Part.of(states.subList(from, to).toArray(TaskState[]::new));
        }
        return new TaskStates(states.size(), parts);
    }

    /** Returns the number of parts that tasks have. */
    public static int countParts(int tasks) {
        return (tasks + PART_TASKS - 1) / PART_TASKS;
    }

    /** Returns the states with those of one part replaced. */
    public TaskStates withPart(int part, List<TaskState> states) {
        if (states.size() != partSize(part)) {
            throw new IllegalArgumentException(
                    "part " + part + " has " + partSize(part) + " tasks, not " + states.size());
        }
        Part[] replaced = parts.clone();
        replaced[part] = Part.of(states.toArray(TaskState[]::new));
        return new TaskStates(size, replaced);
    }

    /** Returns the states of another number of tasks: without those at the end, or with initial ones. */
    TaskStates resizedTo(int newSize) {
        if (newSize == size) {
            return this;
        }
        TaskState[] states = new TaskState[newSize];
        Arrays.setAll(states, i -> i < size ? get(i) : TaskState.INITIAL);
        return copyOf(Arrays.asList(states));
    }

    /** Returns the number of parts. */
    public int countParts() {
        return parts.length;
    }

    /** Returns the states of one part. */
    public List<TaskState> part(int part) {
        int from = part * PART_TASKS;
        return subList(from, from + partSize(part));
    }

    /** Tells whether nothing has happened to the tasks of a part. */
    public boolean isInitial(int part) {
        return parts[part] == null;
    }

    /** Returns the number of tasks in a phase. */
    int count(TaskPhase phase) {
        return phaseCounts[phase.ordinal()];
    }

    @Override
    public TaskState get(int index) {
        if (index < 0 || index >= size) {
            throw new IndexOutOfBoundsException("task " + index + " of " + size);
        }
        Part part = parts[index / PART_TASKS];
        return part == null ? TaskState.INITIAL : part.states()[index % PART_TASKS];
    }

    @Override
    public int size() {
        return size;
    }

    private int partSize(int part) {
        return Math.min(PART_TASKS, size - part * PART_TASKS);
    }
}
