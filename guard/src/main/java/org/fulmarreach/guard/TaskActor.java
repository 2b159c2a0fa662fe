package org.fulmarreach.guard;

import java.util.List;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.core.model.Resources;

/** Owns the tasks of the VM. */
final class TaskActor {
    private TaskActor() {}

    static Behavior<TaskCommand> create(ActorRef<GuardCommand> guardian) {
        return Behaviors.receiveMessage(command -> {
            switch (command) {
                case TaskCommand.Report report ->
                    report.replyTo()
                            .tell(new LinksCommand.TasksReported(List.of(), Resources.NONE, Resources.NONE, false));
                case TaskCommand.SetLeaving leaving -> guardian.tell(GuardCommand.Step.TASKS_ENDED);
                default -> {
                    // No tasks yet.
                }
            }
            return Behaviors.same();
        });
    }
}
