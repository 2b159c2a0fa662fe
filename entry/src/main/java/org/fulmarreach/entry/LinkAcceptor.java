package org.fulmarreach.entry;

import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.entry.guards.DirectoryCommand;
import org.fulmarreach.entry.peers.PeersCommand;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;

/**
 * Listener of one accepted connection. Its first frame tells whether a guard or another entry has dialled; the events
 * of the connection go to the owner of these from then on. Called by one stream at a time.
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
            owner = chooseOwner(received);
        }
        if (owner != null) {
            owner.accept(event);
        }
    }

    private Consumer<LinkEvent> chooseOwner(LinkEvent.Received first) {
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
