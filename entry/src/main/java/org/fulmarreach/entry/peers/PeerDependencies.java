package org.fulmarreach.entry.peers;

import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.entry.calls.ForwardedCalls;
import org.fulmarreach.entry.rules.RulesCommand;
import org.fulmarreach.platform.LogClient;

/**
 * Components that handle the messages of peers.
 *
 * @param calls handles forwarded calls
 * @param log client that reads the log service directly
 * @param storeReachable returns whether this entry can reach the log service
 * @param rules receives the rules of peers
 * @param servicesInOtherRegions set to the names of the services that have free slots in other regions
 */
public record PeerDependencies(
        ForwardedCalls calls,
        LogClient log,
        BooleanSupplier storeReachable,
        ActorRef<RulesCommand> rules,
        AtomicReference<Set<String>> servicesInOtherRegions) {}
