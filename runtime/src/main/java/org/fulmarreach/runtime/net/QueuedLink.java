package org.fulmarreach.runtime.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Queue;

import org.apache.pekko.actor.ActorRef;
import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.protocol.io.ThriftBytes;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.log.RuntimeEvent;

/** The side of a connection that users see, with the frames that wait for a {@link FrameConnection}. Thread-safe. */
final class QueuedLink implements FrameLink {
    private static final int MAX_PENDING_FRAMES = 4_096;

    /** Queued frames are merged into one write up to this size; a larger frame is written alone. */
    private static final int MAX_WRITE_BYTES = 64 * 1024;

    private final String address;
    private final LinkSettings settings;
    private final EventLog log;
    private final Queue<byte[]> frames = new ArrayDeque<>();
    private ActorRef connection;
    private long pendingBytes;
    private boolean flushSent;
    private boolean ended;

    /** Constructs a link to {@code address}, given as {@code host:port}. */
    QueuedLink(String address, LinkSettings settings, EventLog log) {
        this.address = address;
        this.settings = settings;
        this.log = log;
    }

    /*
     * Users
     */

    @Override
    public void send(long correlationId, Body body) {
        byte[] frame;
        try {
            frame = ThriftBytes.encode(new Frame(correlationId, body));
        } catch (FrameException e) {
            log.emit(
                    RuntimeEvent.FRAME_NOT_SENT,
                    "remote",
                    address,
                    "message",
                    body.getSetField(),
                    "reason",
                    e.getMessage());
            return;
        }
        long refusedAtBytes = enqueue(frame);
        if (refusedAtBytes > 0) {
            log.emit(RuntimeEvent.SEND_BUFFER_FULL, "remote", address, "pendingBytes", refusedAtBytes);
            close();
        }
    }

    @Override
    public void close() {
        tell(FrameConnection.Command.CLOSE);
    }

    @Override
    public String remoteAddress() {
        return address;
    }

    /*
     * Connection
     */

    /** Sets the actor of the connection. */
    synchronized void setConnection(ActorRef actor) {
        connection = actor;
    }

    /** The connection has received the message that frames are queued. */
    synchronized void flushStarted() {
        flushSent = false;
    }

    /** Frames that are queued or sent after the end of the connection are dropped. */
    synchronized void ended() {
        ended = true;
        frames.clear();
    }

    /** Removes frames from the queue; returns them with their lengths, empty if there are none. */
    synchronized byte[] takeFrames() {
        int count = 0;
        int bytes = 0;
        for (byte[] frame : frames) {
            int frameBytes = FrameDecoder.LENGTH_BYTES + frame.length;
            if (count > 0 && bytes + frameBytes > MAX_WRITE_BYTES) {
                break;
            }
            count++;
            bytes += frameBytes;
        }
        ByteBuffer merged = ByteBuffer.allocate(bytes);
        for (; count > 0; count--) {
            byte[] frame = frames.remove();
            merged.putInt(frame.length).put(frame);
        }
        pendingBytes -= bytes;
        return merged.array();
    }

    /** Adds a frame; returns the number of pending bytes if that is over the limit, otherwise 0. */
    private synchronized long enqueue(byte[] frame) {
        if (ended) {
            return 0;
        }
        long bytes = pendingBytes + FrameDecoder.LENGTH_BYTES + frame.length;
        if (bytes > settings.maxPendingBytes() || frames.size() >= MAX_PENDING_FRAMES) {
            ended = true;
            return bytes;
        }
        pendingBytes = bytes;
        frames.add(frame);
        if (!flushSent) {
            flushSent = true;
            tell(FrameConnection.Command.FLUSH);
        }
        return 0;
    }

    private synchronized void tell(FrameConnection.Command command) {
        connection.tell(command, ActorRef.noSender());
    }
}
