package org.fulmarreach.entry.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.core.model.AvailabilityZone;
import org.fulmarreach.core.model.Region;
import org.fulmarreach.core.model.Vm;
import org.fulmarreach.entry.guards.DirectoryCommand;
import org.fulmarreach.entry.guards.GuardEvent;
import org.fulmarreach.entry.guards.GuardView;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.GuardState;
import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.Resources;
import org.fulmarreach.protocol.thrift.StartTask;
import org.fulmarreach.protocol.thrift.TaskId;
import org.fulmarreach.protocol.thrift.TaskPhase;
import org.fulmarreach.protocol.thrift.TaskStatus;

/** A guard directory with one simulated guard that carries out all orders. */
final class FakeDirectory {
    final ConcurrentLinkedQueue<Body> received = new ConcurrentLinkedQueue<>();
    private final List<ActorRef<GuardEvent>> subscribers = new ArrayList<>();
    private final Map<TaskId, TaskStatus> tasks = new LinkedHashMap<>();

    Behavior<DirectoryCommand> construct() {
        return Behaviors.withTimers(timers -> {
            timers.startTimerWithFixedDelay(new DirectoryCommand.LinkChanged(null), Duration.ofMillis(100));
            return Behaviors.receiveMessage(command -> {
                switch (command) {
                    case DirectoryCommand.Subscribe subscribe -> subscribers.add(subscribe.subscriber());
                    case DirectoryCommand.SendToGuard send -> handleOrder(send.body());
                    default -> sendHeartbeat();
                }
                return Behaviors.same();
            });
        });
    }

    private void handleOrder(Body body) {
        received.add(body);
        switch (body.getSetField()) {
            case START_TASK -> {
                StartTask start = body.getStartTask();
                tasks.put(start.getTask(), status(start.getTask(), TaskPhase.RUNNING, start.getTerm()));
            }
            case STOP_TASK -> {
                TaskId task = body.getStopTask().getTask();
                tasks.put(
                        task, status(task, TaskPhase.STOPPED, body.getStopTask().getTerm()));
            }
            case TASK_REPORT_ACK -> body.getTaskReportAck().getTasks().forEach(tasks::remove);
            default -> {
                // Fences and renewals do not change the reported tasks.
            }
        }
    }

    private void sendHeartbeat() {
        long nowMs = System.nanoTime() / 1_000_000;
        Heartbeat heartbeat = new Heartbeat();
        heartbeat.setTickMs(nowMs);
        heartbeat.setState(GuardState.READY);
        heartbeat.setFree(new Resources(16_000, 64_000, 0));
        heartbeat.setTasks(new ArrayList<>(tasks.values()));
        heartbeat.setIncarnation(1);
        Vm vm = new Vm(
                "vm-0",
                "rack-0",
                new AvailabilityZone("sued-a", new Region("sued")),
                new org.fulmarreach.core.model.Resources(16_000, 64_000, 0));
        GuardEvent event = new GuardEvent.HeartbeatReceived(new GuardView("guard-0", 1, vm, "bestellung"), heartbeat);
        subscribers.forEach(subscriber -> subscriber.tell(event));
    }

    private static TaskStatus status(TaskId task, TaskPhase phase, long term) {
        TaskStatus status = new TaskStatus();
        status.setTask(task);
        status.setPhase(phase);
        status.setThrottleShare(1);
        status.setTerm(term);
        status.setShard("work-sued-0");
        return status;
    }
}
