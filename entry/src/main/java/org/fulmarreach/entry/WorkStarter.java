package org.fulmarreach.entry;

import java.security.SecureRandom;
import java.time.Clock;
import java.util.List;

import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.entry.guards.DirectoryCommand;
import org.fulmarreach.entry.peers.PeersCommand;
import org.fulmarreach.entry.rules.RulesCommand;
import org.fulmarreach.entry.work.WorkCommand;
import org.fulmarreach.entry.work.WorkDependencies;
import org.fulmarreach.entry.work.WorkNode;
import org.fulmarreach.entry.work.WorkSettings;
import org.fulmarreach.platform.LogClient;
import org.fulmarreach.runtime.cfg.Settings;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

import io.micrometer.core.instrument.MeterRegistry;

/** Starts the part of an entry that leads shards of batch and standing work. */
@FunctionalInterface
public interface WorkStarter {
    /**
     * What the part is constructed from.
     *
     * @param context spawns its actors
     * @param settings settings of the entry
     * @param log client of the log service, reads through the region's reader
     * @param directory guards
     * @param peers other entries
     * @param rules gives the rules in force to subscribers
     * @param clock monotonic clock
     * @param events events
     * @param meters metrics
     */
    record Parts(
            ActorContext<?> context,
            Settings settings,
            LogClient log,
            ActorRef<DirectoryCommand> directory,
            ActorRef<PeersCommand> peers,
            ActorRef<RulesCommand> rules,
            MonotonicClock clock,
            EventLog events,
            MeterRegistry meters) {}

    /** Starts the part; called once on the thread of the context's actor. */
    ActorRef<WorkCommand> start(Parts parts);

    /** Returns a starter that takes part in leading the shards of the entry's region. */
    static WorkStarter shards() {
        return parts -> {
            // Wall-clock milliseconds order the runs of an entry without memory; leases do not depend on them.
            long incarnation = Clock.systemUTC().millis();
            WorkDependencies dependencies = new WorkDependencies(
                    parts.log(),
                    parts.directory(),
                    parts.peers(),
                    subscriber -> parts.rules().tell(new RulesCommand.Subscribe(subscriber)),
                    parts.clock(),
                    Clock.systemUTC(),
                    new SecureRandom(),
                    parts.events(),
                    parts.meters());
            return WorkNode.start(parts.context(), WorkSettings.of(parts.settings(), incarnation), dependencies);
        };
    }

    /** Returns a starter of an entry that leads no shard. */
    static WorkStarter none() {
        return parts -> parts.context()
                .spawn(
                        Behaviors.<WorkCommand>receiveMessage(command -> {
                            switch (command) {
                                case WorkCommand.ListWork list -> list.replyTo().tell(List.of());
                                case WorkCommand.ExplainWork explain ->
                                    explain.replyTo()
                                            .tell(Result.err(ErrorCode.NOT_FOUND, "no work " + explain.name()));
                                case WorkCommand.CancelWork cancel ->
                                    cancel.replyTo().tell(Result.err(ErrorCode.NOT_FOUND, "no work " + cancel.name()));
                                case WorkCommand.ListLeases list ->
                                    list.replyTo().tell(List.of());
                                case WorkCommand.Resign resign ->
                                    resign.replyTo().tell(Done.getInstance());
                            }
                            return Behaviors.same();
                        }),
                        "work");
    }
}
