package org.fulmarreach.entry.jobs;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;

/** Connections between entries of one process. Connections to unknown or cut addresses fail. Thread-safe. */
final class FakeEntryLinks implements EntryLinks {
    private final Map<String, ActorRef<JobsCommand>> entries = new LinkedHashMap<>();
    private final Set<String> silent = ConcurrentHashMap.newKeySet();

    synchronized void add(String address, ActorRef<JobsCommand> entry) {
        entries.put(address, entry);
    }

    /** Makes connections to an entry fail as if its process had ended. */
    synchronized void remove(String address) {
        entries.remove(address);
    }

    /** Makes an entry leave all frames unanswered, as one that is frozen. */
    void silence(String address) {
        silent.add(address);
    }

    @Override
    public synchronized List<String> knownAddresses() {
        return List.copyOf(entries.keySet());
    }

    @Override
    public synchronized void connect(String address, Consumer<LinkEvent> listener) {
        ActorRef<JobsCommand> entry = entries.get(address);
        if (entry == null) {
            listener.accept(new LinkEvent.Closed(null, "connection refused"));
            return;
        }
        listener.accept(new LinkEvent.Opened(new Link(address, frame -> {
            if (!silent.contains(address)) {
                entry.tell(new JobsCommand.GuardLink(new LinkEvent.Received(answering(address, listener), frame)));
            }
        })));
    }

    /** Returns the other end of a connection, whose frames go to the listener of the entry that opened it. */
    private static FrameLink answering(String address, Consumer<LinkEvent> listener) {
        return new Link(address, frame -> listener.accept(new LinkEvent.Received(null, frame)));
    }

    private record Link(String remoteAddress, Consumer<Frame> receiver) implements FrameLink {
        @Override
        public void send(long correlationId, Body body) {
            receiver.accept(new Frame(correlationId, body));
        }

        @Override
        public void close() {
            // Frames are passed on directly, so there is no connection to close.
        }
    }
}
