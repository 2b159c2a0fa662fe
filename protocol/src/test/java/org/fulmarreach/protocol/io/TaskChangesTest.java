package org.fulmarreach.protocol.io;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.TaskId;
import org.fulmarreach.protocol.thrift.TaskPhase;
import org.fulmarreach.protocol.thrift.TaskStatus;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a leader that restores a different task list than the guard sent: it would stop a task that it does
 * not recognize, or free one that still runs.
 */
class TaskChangesTest {
    @Property(seed = "11", tries = 300)
    void restoredListEqualsTheSentOneExceptForRecentUsage(@ForAll long seed) {
        Random random = new Random(seed);
        TaskChangesWriter writer = new TaskChangesWriter();
        TaskChangesReader reader = new TaskChangesReader();
        Map<TaskId, TaskStatus> tasks = new HashMap<>();
        for (long nowMs = 0; nowMs < 30_000; nowMs += 500) {
            changeRandomly(tasks, random);
            Heartbeat full = new Heartbeat().setTickMs(nowMs).setTasks(new ArrayList<>(tasks.values()));
            byte[] wire = ThriftBytes.encode(writer.write(full, nowMs));
            Heartbeat restored = reader.read(ThriftBytes.decode(wire, new Heartbeat()));
            assertEquals(withoutUsage(full.getTasks()), withoutUsage(restored.getTasks()));
        }
    }

    @Property(seed = "12", tries = 1)
    void unchangedTasksAreNotSentButUsageArrivesWithinItsInterval() {
        TaskChangesWriter writer = new TaskChangesWriter();
        List<TaskStatus> tasks = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            tasks.add(status(i, 1, TaskPhase.RUNNING, 100));
        }
        Heartbeat full = new Heartbeat().setTasks(tasks);
        int firstBytes = ThriftBytes.encode(writer.write(full, 0)).length;
        tasks.forEach(task -> task.setUsedMilliCores(200));
        assertEquals(0, writer.write(full, 500).getTasksSize());
        assertTrue(ThriftBytes.encode(writer.write(full, 1_000)).length < firstBytes / 5);
        assertEquals(14, writer.write(full, TaskChangesWriter.USAGE_INTERVAL_MS).getTasksSize());
    }

    private static void changeRandomly(Map<TaskId, TaskStatus> tasks, Random random) {
        for (int i = random.nextInt(3); i > 0; i--) {
            int work = random.nextInt(6);
            long epoch = random.nextInt(3);
            TaskPhase phase = TaskPhase.values()[random.nextInt(TaskPhase.values().length)];
            TaskStatus status = status(work, epoch, phase, random.nextInt(4_000));
            if (random.nextInt(3) == 0) {
                tasks.remove(status.getTask());
            } else {
                tasks.put(status.getTask(), status);
            }
        }
    }

    private static TaskStatus status(int work, long epoch, TaskPhase phase, int milliCores) {
        return new TaskStatus()
                .setTask(new TaskId("work-" + work, 0, epoch))
                .setPhase(phase)
                .setShard("work-sued-0")
                .setTerm(7)
                .setUsedMilliCores(milliCores);
    }

    private static HashSet<TaskStatus> withoutUsage(List<TaskStatus> tasks) {
        HashSet<TaskStatus> stripped = new HashSet<>();
        for (TaskStatus task : tasks) {
            stripped.add(task.deepCopy().setUsedMilliCores(0));
        }
        return stripped;
    }
}
