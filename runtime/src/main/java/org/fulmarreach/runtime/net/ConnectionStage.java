package org.fulmarreach.runtime.net;

import java.time.Duration;
import java.util.concurrent.TimeoutException;

import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.BidiShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.stream.stage.TimerGraphStageLogic;
import org.apache.pekko.util.ByteString;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Stands between the HTTP layer and the transport of one connection and reports its progress to
 * {@link HttpConnections}. After the HTTP layer has ended its output, input is read and discarded until the peer has
 * closed, too. An idle connection is aborted.
 */
final class ConnectionStage extends GraphStage<BidiShape<ByteString, ByteString, ByteString, ByteString>> {
    private static final long IDLE_TIMEOUT_MS = 60_000;
    private static final Duration IDLE_CHECK = Duration.ofSeconds(15);

    /** Limits how long a peer that does not read or close may keep a connection after the last answer. */
    private static final Duration LINGER = Duration.ofSeconds(5);

    private final Inlet<ByteString> fromHttp = Inlet.create("fromHttp");
    private final Outlet<ByteString> toNet = Outlet.create("toNet");
    private final Inlet<ByteString> fromNet = Inlet.create("fromNet");
    private final Outlet<ByteString> toHttp = Outlet.create("toHttp");
    private final HttpConnections.Connection connection;
    private final MonotonicClock clock;

    ConnectionStage(HttpConnections.Connection connection, MonotonicClock clock) {
        this.connection = connection;
        this.clock = clock;
    }

    @Override
    public BidiShape<ByteString, ByteString, ByteString, ByteString> shape() {
        return new BidiShape<>(fromHttp, toNet, fromNet, toHttp);
    }

    @Override
    public GraphStageLogic createLogic(Attributes attributes) {
        return new Logic();
    }

    private final class Logic extends TimerGraphStageLogic {
        private long lastActivityAtMs = clock.nowMs();

        Logic() {
            super(ConnectionStage.this.shape());
            setHandler(fromHttp, new FromHttp());
            setHandler(toNet, new ToNet());
            setHandler(fromNet, new FromNet());
            setHandler(toHttp, new ToHttp());
        }

        @Override
        public void preStart() {
            AsyncCallback<Integer> closeIfIdle = createAsyncCallback(ignored -> closeIfIdle());
            connection.onClose(() -> closeIfIdle.invoke(0));
            scheduleWithFixedDelay("idle", IDLE_CHECK, IDLE_CHECK);
        }

        @Override
        public void postStop() {
            connection.ended();
        }

        @Override
        public void onTimer(Object key) {
            if (key.equals("linger") || clock.nowMs() - lastActivityAtMs >= IDLE_TIMEOUT_MS) {
                abort(new TimeoutException("the connection has been idle for too long"));
            }
        }

        private void abort(TimeoutException cause) {
            fail(toNet, cause);
            cancel(fromNet, cause);
            cancel(fromHttp);
            complete(toHttp);
        }

        /** Bytes may have arrived since the decision to close this connection; then it stays open. */
        private void closeIfIdle() {
            if (!connection.isInProgress() && !isClosed(toNet)) {
                endOutput();
                cancel(fromHttp);
                complete(toHttp);
            }
        }

        /**
         * Ends the output and reads on until the peer has closed. Closing the socket with unread input would reset the
         * connection, and the peer could lose the last answer.
         */
        private void endOutput() {
            complete(toNet);
            connection.outputEnded();
            scheduleOnce("linger", LINGER);
            discardInput();
        }

        private void discardInput() {
            if (!isClosed(fromNet) && !hasBeenPulled(fromNet)) {
                pull(fromNet);
            }
        }

        private final class FromHttp extends AbstractInHandler {
            @Override
            public void onPush() {
                lastActivityAtMs = clock.nowMs();
                connection.sent();
                push(toNet, grab(fromHttp));
            }

            @Override
            public void onUpstreamFinish() {
                endOutput();
            }
        }

        private final class ToNet extends AbstractOutHandler {
            @Override
            public void onPull() {
                if (!isClosed(fromHttp) && !hasBeenPulled(fromHttp)) {
                    pull(fromHttp);
                }
            }

            @Override
            public void onDownstreamFinish(Throwable cause) {
                cancel(fromHttp, cause);
            }
        }

        private final class FromNet extends AbstractInHandler {
            @Override
            public void onPush() {
                lastActivityAtMs = clock.nowMs();
                ByteString bytes = grab(fromNet);
                // Once the output has ended, input is read without demand of the HTTP layer, and is discarded.
                if (isAvailable(toHttp)) {
                    connection.received();
                    push(toHttp, bytes);
                } else {
                    discardInput();
                }
            }

            @Override
            public void onUpstreamFinish() {
                complete(toHttp);
            }

            /** The peer has reset the connection, which is no failure of this process. */
            @Override
            public void onUpstreamFailure(Throwable failure) {
                completeStage();
            }
        }

        private final class ToHttp extends AbstractOutHandler {
            @Override
            public void onPull() {
                if (!isClosed(fromNet) && !hasBeenPulled(fromNet)) {
                    pull(fromNet);
                }
            }

            /** The HTTP layer reads no further request, but the answer to the last one may be outstanding. */
            @Override
            public void onDownstreamFinish(Throwable cause) {
                discardInput();
            }
        }
    }
}
