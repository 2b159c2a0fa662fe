package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.fulmarreach.protocol.io.ThriftBytes;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.LeaderOrders;
import org.fulmarreach.runtime.net.FrameLink;

/** Connection to a guard that records the frames sent to it. */
final class FakeLink implements FrameLink {
    private final List<Body> sent = new CopyOnWriteArrayList<>();

    List<String> leaderHints() {
        return sent.stream()
                .filter(Body::isSetLeaderHint)
                .map(body -> body.getLeaderHint().getAddress())
                .toList();
    }

    List<LeaderOrders> orders() {
        return sent.stream()
                .filter(Body::isSetLeaderOrders)
                .map(Body::getLeaderOrders)
                .toList();
    }

    List<String> starts() {
        List<String> starts = new ArrayList<>();
        orders().forEach(orders -> orders.getStarts().forEach(start -> starts.add(start.getTask())));
        return starts;
    }

    /** Returns the run numbers of all starts. */
    List<Integer> startedRuns() {
        List<Integer> runs = new ArrayList<>();
        sent.forEach(body -> body.getLeaderOrders().getStarts().forEach(start -> runs.add(start.getRun())));
        return runs;
    }

    List<String> stops() {
        List<String> stops = new ArrayList<>();
        sent.forEach(body -> body.getLeaderOrders().getStops().forEach(stop -> stops.add(stop.getTask())));
        return stops;
    }

    long acknowledgedEnd() {
        return sent.stream()
                .mapToLong(body -> body.getLeaderOrders().getAcknowledgedEnd())
                .max()
                .orElse(0);
    }

    long minWriteAgeMs() {
        return sent.stream()
                .mapToLong(body -> body.getLeaderOrders().getWriteAgeMs())
                .min()
                .orElse(-1);
    }

    long grants() {
        return sent.stream().filter(Body::isSetLeaderOrders).count();
    }

    /** Encodes the frame as a real connection does, which has a limit on its size. */
    @Override
    public void send(long correlationId, Body body) {
        ThriftBytes.encode(new Frame(correlationId, body));
        sent.add(body);
    }

    @Override
    public void close() {
        // There is no connection to close.
    }

    @Override
    public String remoteAddress() {
        return "127.0.0.1:2";
    }
}
