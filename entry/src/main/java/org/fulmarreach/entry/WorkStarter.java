package org.fulmarreach.entry;

import java.util.List;

import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.entry.work.WorkCommand;
import org.fulmarreach.entry.work.WorkDependencies;
import org.fulmarreach.entry.work.WorkSettings;

/** Starts the actor of an entry that leads shards of batch and standing work. */
@FunctionalInterface
public interface WorkStarter {
    /**
     * Starts the actor; called once, on the thread of the context's actor.
     *
     * @param context context that spawns the actor
     * @param settings settings of the shards
     * @param dependencies services and actors that the actor uses
     */
    ActorRef<WorkCommand> start(ActorContext<?> context, WorkSettings settings, WorkDependencies dependencies);

    /** Returns a starter for an entry that leads no shard and therefore has no work. */
    static WorkStarter none() {
        return (context, settings, dependencies) -> context.spawn(
                Behaviors.<WorkCommand>receiveMessage(command -> {
                    switch (command) {
                        case WorkCommand.ListWork list -> list.replyTo().tell(List.of());
                        case WorkCommand.ExplainWork explain ->
                            explain.replyTo().tell(Result.err(ErrorCode.NOT_FOUND, "no work named " + explain.name()));
                        case WorkCommand.CancelWork cancel ->
                            cancel.replyTo().tell(Result.err(ErrorCode.NOT_FOUND, "no work named " + cancel.name()));
                        case WorkCommand.ListLeases list -> list.replyTo().tell(List.of());
                        case WorkCommand.Resign resign -> resign.replyTo().tell(Done.getInstance());
                    }
                    return Behaviors.same();
                }),
                "work");
    }
}
