package org.fulmarreach.core.jobs;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.RandomAccess;

/**
 * Tasks of a job, ordered by occurrence, step and index. A task is constructed when it is first asked for, so that
 * those whose turn has not come take no memory. Not thread-safe.
 */
final class JobTasks extends AbstractList<JobTask> implements RandomAccess {
    private final Job job;
    private final int[] stepStarts;
    private final int tasksPerOccurrence;
    private final JobTask[][] parts;
    private final int size;

    JobTasks(Job job, JobSpec spec) {
        this.job = job;
        this.stepStarts = new int[spec.steps().size()];
        int count = 0;
        for (int step = 0; step < stepStarts.length; step++) {
            stepStarts[step] = count;
            count += spec.steps().get(step).taskCount();
        }
        this.tasksPerOccurrence = count;
        this.size = spec.occurrences() * count;
        this.parts = new JobTask[TaskStates.countParts(size)][];
    }

    @Override
    public int size() {
        return size;
    }

    /** Returns a task, which is constructed in the state that the job last stored for it if that is necessary. */
    @Override
    public JobTask get(int index) {
        JobTask present = findPresent(index);
        if (present != null) {
            return present;
        }
        int occurrence = index / tasksPerOccurrence;
        int inOccurrence = index % tasksPerOccurrence;
        int step = findStep(inOccurrence);
        TaskName name = new TaskName(job.spec().id(), occurrence, step, inOccurrence - stepStarts[step]);
        JobTask task = new JobTask(job, name, job.spec().steps().get(step), job.storedState(index));
        int part = index / TaskStates.PART_TASKS;
        if (parts[part] == null) {
            parts[part] = new JobTask[Math.min(TaskStates.PART_TASKS, size - part * TaskStates.PART_TASKS)];
        }
        parts[part][index % TaskStates.PART_TASKS] = task;
        return task;
    }

    /** Returns a task if it has been constructed, or else null. */
    JobTask findPresent(int index) {
        if (index < 0 || index >= size) {
            throw new IndexOutOfBoundsException("task " + index + " of " + size);
        }
        JobTask[] part = parts[index / TaskStates.PART_TASKS];
        return part == null ? null : part[index % TaskStates.PART_TASKS];
    }

    /** Returns the constructed tasks of a range. */
    List<JobTask> present(int from, int to) {
        List<JobTask> present = new ArrayList<>();
        for (int index = from; index < to; ) {
            int nextPart = (index / TaskStates.PART_TASKS + 1) * TaskStates.PART_TASKS;
            if (parts[index / TaskStates.PART_TASKS] == null) {
                index = nextPart;
                continue;
            }
            for (; index < Math.min(to, nextPart); index++) {
                JobTask task = findPresent(index);
                if (task != null) {
                    present.add(task);
                }
            }
        }
        return present;
    }

    /** Drops the tasks that are done and stored as such; they are constructed again when they are asked for. */
    void dropDone(TaskStates stored) {
        for (int part = 0; part < parts.length; part++) {
            boolean empty = true;
            for (int i = 0; parts[part] != null && i < parts[part].length; i++) {
                JobTask task = parts[part][i];
                boolean done = task != null
                        && task.state().phase() == TaskPhase.DONE
                        && stored.get(part * TaskStates.PART_TASKS + i).phase() == TaskPhase.DONE;
                if (done) {
                    parts[part][i] = null;
                }
                empty &= parts[part][i] == null;
            }
            if (empty) {
                parts[part] = null;
            }
        }
    }

    void dropAll() {
        Arrays.fill(parts, null);
    }

    /** Returns the position of the first task of a step. */
    int indexOf(int occurrence, int step) {
        return occurrence * tasksPerOccurrence + stepStarts[step];
    }

    int indexOf(TaskName name) {
        return indexOf(name.occurrence(), name.step()) + name.index();
    }

    private int findStep(int indexInOccurrence) {
        int low = 0;
        int high = stepStarts.length - 1;
        while (low < high) {
            int middle = (low + high + 1) / 2;
            if (stepStarts[middle] <= indexInOccurrence) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return low;
    }
}
