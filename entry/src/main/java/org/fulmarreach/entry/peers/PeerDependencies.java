package org.fulmarreach.entry.peers;

import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.entry.calls.ForwardedCalls;
import org.fulmarreach.entry.rules.RulesCommand;
import org.fulmarreach.platform.LogClient;

/**
 * What the messages of peers are answered from.
 *
 * @param calls takes in forwarded calls
 * @param log reads the log service directly
 * @param storeReachable whether this entry reaches the log service
 * @param rules gets the rules of peers
 * @param servicesElsewhere receives the services with free slots in other regions
 */
public record PeerDependencies(
        ForwardedCalls calls,
        LogClient log,
        BooleanSupplier storeReachable,
        ActorRef<RulesCommand> rules,
        AtomicReference<Set<String>> servicesElsewhere) {}
