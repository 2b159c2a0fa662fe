package org.fulmarreach.entry;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.apache.pekko.actor.typed.ActorSystem;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Call;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.protocol.thrift.GuardState;
import org.fulmarreach.protocol.thrift.Header;
import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.Hello;
import org.fulmarreach.protocol.thrift.Outcome;
import org.fulmarreach.protocol.thrift.ResolveResult;
import org.fulmarreach.protocol.thrift.ResolveState;
import org.fulmarreach.protocol.thrift.Resources;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.FrameTransport;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.net.LinkSettings;

/** Guard for tests that connects to an entry. A function computes its answers to calls; null stands for no answer. */
final class FakeGuard implements AutoCloseable {
    private final FrameTransport transport;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final Map<String, CallResult> answers = new ConcurrentHashMap<>();
    private final Map<String, Boolean> refused = new ConcurrentHashMap<>();
    private final AtomicInteger executions = new AtomicInteger();
    private final String id;
    private final String service;
    private final Function<Call, CallResult> target;
    private volatile FrameLink link;
    private volatile boolean dropResults;
    private volatile GuardState state = GuardState.READY;

    FakeGuard(ActorSystem<?> system, String id, String service, Function<Call, CallResult> target) {
        this.transport = new FrameTransport(system, LinkSettings.DEFAULT, new EventLog(id));
        this.id = id;
        this.service = service;
        this.target = target;
    }

    static CallResult answer(int status, String body) {
        return new CallResult()
                .setOutcome(Outcome.RUN)
                .setStatus(status)
                .setHeaders(List.of(
                        new Header("Content-Type", "text/plain"),
                        new Header("X-Target", "t1"),
                        new Header("Server", "shop/1")))
                .setBody(body.getBytes(StandardCharsets.UTF_8))
                .setServiceMs(1);
    }

    int executions() {
        return executions.get();
    }

    void setState(GuardState newState) {
        state = newState;
        sendHeartbeat();
    }

    void setDropResults(boolean newDropResults) {
        dropResults = newDropResults;
    }

    void connect(InetSocketAddress entry) {
        transport.connect(entry.getAddress().getHostAddress(), entry.getPort(), event -> {
            if (event instanceof LinkEvent.Opened opened) {
                link = opened.link();
                link.send(Body.hello(new Hello(
                        id, id, 7, "sued-a", "sued", "r1", service, 8, 64, new Resources(64_000, 250_000, 0))));
                sendHeartbeat();
            } else if (event instanceof LinkEvent.Received received) {
                receive(received);
            }
        });
        timer.scheduleAtFixedRate(this::sendHeartbeat, 100, 100, TimeUnit.MILLISECONDS);
    }

    void disconnect() {
        link.close();
    }

    private void sendHeartbeat() {
        if (link != null) {
            link.send(Body.heartbeat(new Heartbeat()
                    .setTickMs(1_000)
                    .setState(state)
                    .setIncarnation(7)
                    .setSlots(8)
                    .setConnections(64)
                    .setTasks(List.of())));
        }
    }

    private void receive(LinkEvent.Received received) {
        Body body = received.frame().getBody();
        long correlationId = received.frame().getCorrelationId();
        if (body.isSetCall()) {
            Call call = body.getCall();
            boolean isNew = !answers.containsKey(call.getRequestId());
            CallResult result = isNew ? run(call) : new CallResult(answers.get(call.getRequestId())).setRepeated(true);
            if (result != null && !dropResults) {
                received.link().send(correlationId, Body.callResult(result));
            }
        } else if (body.isSetResolve()) {
            received.link()
                    .send(
                            correlationId,
                            Body.resolveResult(resolve(body.getResolve().getRequestId())));
        }
    }

    private CallResult run(Call call) {
        executions.incrementAndGet();
        CallResult result = target.apply(call);
        if (result != null) {
            result.setRequestId(call.getRequestId());
            answers.put(call.getRequestId(), result);
        }
        return result;
    }

    private ResolveResult resolve(String requestId) {
        if (answers.containsKey(requestId)) {
            return new ResolveResult(requestId, ResolveState.DONE).setResult(answers.get(requestId));
        }
        refused.put(requestId, true);
        return new ResolveResult(requestId, ResolveState.REFUSED);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        disconnect();
    }
}
