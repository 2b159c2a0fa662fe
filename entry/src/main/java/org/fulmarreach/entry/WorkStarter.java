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

/** Starts the part of an entry that leads shards of batch and standing work. */
@FunctionalInterface
public interface WorkStarter {
    /**
     * Starts the part; called once, on the thread of the context's actor.
     *
     * @param context spawns its actors
     * @param settings settings of the shards
     * @param parts what the part is constructed from
     */
    ActorRef<WorkCommand> start(ActorContext<?> context, WorkSettings settings, WorkDependencies parts);

    /** Returns a starter of an entry that leads no shard. */
    static WorkStarter none() {
        return (context, settings, parts) -> context.spawn(
                Behaviors.<WorkCommand>receiveMessage(command -> {
                    switch (command) {
                        case WorkCommand.ListWork list -> list.replyTo().tell(List.of());
                        case WorkCommand.ExplainWork explain ->
                            explain.replyTo().tell(Result.err(ErrorCode.NOT_FOUND, "no work " + explain.name()));
                        case WorkCommand.CancelWork cancel ->
                            cancel.replyTo().tell(Result.err(ErrorCode.NOT_FOUND, "no work " + cancel.name()));
                        case WorkCommand.ListLeases list -> list.replyTo().tell(List.of());
                        case WorkCommand.Resign resign -> resign.replyTo().tell(Done.getInstance());
                    }
                    return Behaviors.same();
                }),
                "work");
    }
}
