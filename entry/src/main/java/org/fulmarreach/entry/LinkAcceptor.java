package org.fulmarreach.entry;

import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.entry.guards.DirectoryCommand;
import org.fulmarreach.entry.peers.PeersCommand;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;

/**
 * Listener of one accepted connection. The first frame shows whether a guard or another entry has connected; from then
 * on the events of the connection go to the actor that owns such connections. Not called concurrently.
 */
final class LinkAcceptor implements Consumer<LinkEvent> {
    private final ActorRef<DirectoryCommand> directory;
    private final ActorRef<PeersCommand> peers;
    private final EventLog log;
    private volatile Consumer<LinkEvent> owner;

    LinkAcceptor(ActorRef<DirectoryCommand> directory, ActorRef<PeersCommand> peers, EventLog log) {
        this.directory = directory;
        this.peers = peers;
        this.log = log;
    }

    @Override
    public void accept(LinkEvent event) {
        if (owner == null && event instanceof LinkEvent.Received received) {
            owner = selectOwner(received);
        }
        if (owner != null) {
            owner.accept(event);
        }
    }

    private Consumer<LinkEvent> selectOwner(LinkEvent.Received first) {
        FrameLink link = first.link();
        if (first.frame().getBody().isSetHello()) {
            return event -> directory.tell(new DirectoryCommand.LinkChanged(event));
        }
        if (first.frame().getBody().isSetPeerHello()) {
            return event -> peers.tell(new PeersCommand.LinkChanged(event));
        }
        log.emit(
                EntryEvent.UNEXPECTED_FRAME,
                "remote",
                link.remoteAddress(),
                "frame",
                first.frame().getBody().getSetField());
        link.close();
        return event -> {};
    }
}
