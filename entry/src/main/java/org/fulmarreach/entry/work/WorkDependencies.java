package org.fulmarreach.entry.work;

import java.time.Clock;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.rules.RulesInForce;
import org.fulmarreach.entry.guards.DirectoryCommand;
import org.fulmarreach.entry.peers.PeersCommand;
import org.fulmarreach.platform.LogClient;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

import io.micrometer.core.instrument.MeterRegistry;

/**
 * Dependencies of the shard actors of an entry. Immutable.
 *
 * @param log client of the log service
 * @param directory actor that tracks the guards of the region
 * @param peers actor that tracks the other entries
 * @param rules subscribes an actor to the current rules
 * @param clock monotonic clock for leases
 * @param wallClock wall clock for the schedule of batch runs
 * @param random source of random numbers for placement
 * @param events event log
 * @param meters metrics registry
 */
public record WorkDependencies(
        LogClient log,
        ActorRef<DirectoryCommand> directory,
        ActorRef<PeersCommand> peers,
        Consumer<ActorRef<RulesInForce>> rules,
        MonotonicClock clock,
        Clock wallClock,
        RandomGenerator random,
        EventLog events,
        MeterRegistry meters) {}
