package org.fulmarreach.runtime.net;

import java.time.Duration;
import java.util.Set;
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
 * {@link HttpConnections}. The HTTP layer gets one request at a time, its body in one piece, and the next one after the
 * transport has taken the answer; meanwhile nothing is read. Memory is reserved at {@link ClientAdmission} before bytes
 * are kept.
 *
 * <p>After the last answer, a bounded number of bytes is read and discarded until the peer has closed, too. An idle
 * connection, an unfinished request and an answer that makes no progress end the connection.
 */
final class ConnectionStage extends GraphStage<BidiShape<ByteString, ByteString, ByteString, ByteString>> {
    private static final long IDLE_TIMEOUT_MS = 60_000;
    private static final Duration IDLE_CHECK = Duration.ofSeconds(15);

    /** Limits how long a peer that does not read or close may keep a connection after the last answer. */
    private static final Duration LINGER = Duration.ofSeconds(5);

    /** Requests sent ahead of the answers wait longer one after another, so that other connections come first. */
    private static final int AHEAD_STEP_MS = 10;

    private static final int MAX_AHEAD_MS = 1_000;

    /** After these many small parts of a request, reads pause, so that the system joins the parts that follow. */
    private static final int MAX_SMALL_READS = 32;

    private static final int SMALL_READ_BYTES = 256;
    private static final Duration READ_PAUSE = Duration.ofMillis(50);

    private static final String READ_TIMER = "read";
    private static final String AHEAD_TIMER = "ahead";
    private static final String IDLE_TIMER = "idle";
    private static final String LINGER_TIMER = "linger";
    private static final String RECEIVE_TIMER = "receive";
    private static final ByteString CONTINUE = ByteString.fromString("HTTP/1.1 100 Continue\r\n\r\n");

    private final Inlet<ByteString> fromHttp = Inlet.create("fromHttp");
    private final Outlet<ByteString> toNet = Outlet.create("toNet");
    private final Inlet<ByteString> fromNet = Inlet.create("fromNet");
    private final Outlet<ByteString> toHttp = Outlet.create("toHttp");
    private final HttpConnections.Connection connection;
    private final ClientAdmission.Client client;
    private final ClientLimits limits;
    private final RequestFramer framer;
    private final MonotonicClock clock;

    ConnectionStage(
            HttpConnections.Connection connection,
            ClientAdmission.Client client,
            ClientLimits limits,
            int maxBodyBytes,
            Set<String> forwardedNames,
            MonotonicClock clock) {
        this.connection = connection;
        this.client = client;
        this.limits = limits;
        this.framer = new RequestFramer(limits.maxHeaderBytes(), maxBodyBytes, forwardedNames);
        this.clock = clock;
    }

    @Override
    public BidiShape<ByteString, ByteString, ByteString, ByteString> shape() {
        return new BidiShape<>(fromHttp, toNet, fromNet, toHttp);
    }

    /** Returns the memory that the bytes of an unfinished request occupy. */
    int bufferedBytes() {
        return framer.capacityBytes();
    }

    @Override
    public GraphStageLogic createLogic(Attributes attributes) {
        return new Logic();
    }

    private final class Logic extends TimerGraphStageLogic {
        private long lastActivityAtMs = clock.nowMs();
        private long discardedBytes;

        /** A request was passed to the HTTP layer, and the transport has not taken its answer yet. */
        private boolean isAnswerDue;

        private boolean isAnswerSent;
        private boolean endsAfterAnswer;
        private boolean isRefused;
        private boolean isContinueSent;
        private boolean isBodyDue;
        private boolean isHttpEnded;
        private int sentAhead;
        private int smallReads;
        private boolean isOutputEnded;
        private long requestBytes;

        /** Output for which the transport has not asked yet. */
        private ByteString pendingOutput = ByteString.emptyByteString();

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
            AsyncCallback<Integer> evict = createAsyncCallback(ignored -> evict());
            client.onEvict(() -> evict.invoke(0));
            scheduleWithFixedDelay(IDLE_TIMER, IDLE_CHECK, IDLE_CHECK);
        }

        @Override
        public void postStop() {
            // The other stages of the connection may go on for a while and refer to this one.
            framer.close();
            client.ended();
            connection.ended();
        }

        @Override
        public void onTimer(Object key) {
            long idleMs = clock.nowMs() - lastActivityAtMs;
            if (key.equals(READ_TIMER)) {
                readAfterPause();
            } else if (key.equals(AHEAD_TIMER)) {
                advance();
            } else if (key.equals(RECEIVE_TIMER)) {
                refuse(408, ClientAdmission.Reason.SLOW_REQUEST);
            } else if (key.equals(LINGER_TIMER) || idleMs >= IDLE_TIMEOUT_MS) {
                abort("the connection has been idle for too long");
            } else if (isWriting() && idleMs >= limits.writeTimeoutMs()) {
                client.refused(ClientAdmission.Reason.UNREAD_ANSWER);
                abort("the peer does not read its answer");
            }
        }

        private boolean isWriting() {
            return (isAnswerSent || isRefused) && !isOutputEnded;
        }

        private void abort(String reason) {
            TimeoutException cause = new TimeoutException(reason);
            fail(toNet, cause);
            cancel(fromNet, cause);
            cancel(fromHttp);
            complete(toHttp);
        }

        /** A request may have been passed on since this connection was chosen; then it ends with the answer. */
        private void evict() {
            if (isAnswerDue && !isBodyDue) {
                endsAfterAnswer = true;
            } else {
                abort("the memory or place is needed");
            }
        }

        /**
         * Bytes may have arrived since the decision to close this connection, or a request sent ahead waits until the
         * transport has taken the answer before; then it stays open.
         */
        private void closeIfIdle() {
            boolean isIdle = !connection.isInProgress() && framer.isEmpty() && pendingOutput.isEmpty();
            if (isIdle && !isClosed(toNet)) {
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
            isOutputEnded = true;
            cancelTimer(RECEIVE_TIMER);
            cancelTimer(AHEAD_TIMER);
            complete(toNet);
            connection.outputEnded();
            scheduleOnce(LINGER_TIMER, LINGER);
            discardInput();
        }

        private void discardInput() {
            if (discardedBytes <= limits.lingerBytes()) {
                read();
            }
        }

        private void read() {
            if (isClosed(fromNet) || hasBeenPulled(fromNet) || isTimerActive(READ_TIMER)) {
                return;
            }
            if (smallReads > MAX_SMALL_READS) {
                scheduleOnce(READ_TIMER, READ_PAUSE);
            } else {
                pull(fromNet);
            }
        }

        private void readAfterPause() {
            if (!isClosed(fromNet) && !hasBeenPulled(fromNet)) {
                pull(fromNet);
            }
        }

        /** Passes the next request to the HTTP layer when the last one is answered, or reads on. */
        private void advance() {
            if (isAnswerDue && !isBodyDue
                    || isRefused
                    || isOutputEnded
                    || !isAvailable(toHttp)
                    || isTimerActive(AHEAD_TIMER)) {
                return;
            }
            int capacityBefore = framer.capacityBytes();
            RequestFramer.Result result = framer.next();
            client.release(capacityBefore - framer.capacityBytes());
            switch (result) {
                case RequestFramer.Result.Incomplete incomplete -> awaitMore(incomplete.wantsContinue());
                case RequestFramer.Result.Refused refused -> refuse(refused.status(), ClientAdmission.Reason.MALFORMED);
                case RequestFramer.Result.HeadOnly head -> {
                    isBodyDue = true;
                    pass(head.bytes(), head.costBytes());
                }
                case RequestFramer.Result.Body body -> {
                    isBodyDue = false;
                    pass(body.bytes(), body.costBytes());
                }
                case RequestFramer.Result.Complete complete -> {
                    endsAfterAnswer = complete.isLast();
                    pass(complete.bytes(), complete.costBytes());
                }
            }
        }

        private void awaitMore(boolean wantsContinue) {
            if (isClosed(fromNet)) {
                complete(toHttp);
                return;
            }
            if (!framer.isEmpty() && !isBodyDue && !isTimerActive(RECEIVE_TIMER)) {
                scheduleOnce(RECEIVE_TIMER, Duration.ofMillis(limits.receiveTimeoutMs()));
            }
            if (wantsContinue && !isContinueSent) {
                isContinueSent = true;
                write(CONTINUE);
            }
            read();
        }

        private void pass(ByteString bytes, long costBytes) {
            cancelTimer(RECEIVE_TIMER);
            if (!client.reserve(costBytes)) {
                refuse(503, ClientAdmission.Reason.MEMORY);
                return;
            }
            requestBytes += costBytes;
            smallReads = 0;
            isAnswerDue = true;
            isContinueSent &= isBodyDue;
            client.handled(!isBodyDue);
            connection.received();
            push(toHttp, bytes);
        }

        /** Answers without the HTTP layer, which has no request at this time, and ends the connection. */
        private void refuse(int status, ClientAdmission.Reason reason) {
            if (isRefused || isOutputEnded) {
                return;
            }
            client.refused(reason);
            if (isAnswerDue) {
                abort("refused within a body");
                return;
            }
            isRefused = true;
            write(ByteString.fromString("HTTP/1.1 " + status + " Refused\r\nContent-Length: 0\r\n"
                    + (status == 503 ? "Retry-After: 1\r\n" : "") + "Connection: close\r\n\r\n"));
        }

        private void write(ByteString bytes) {
            if (isAvailable(toNet)) {
                push(toNet, bytes);
            } else {
                pendingOutput = pendingOutput.concat(bytes);
            }
        }

        /** The transport has taken the whole answer. */
        private void answerDelivered() {
            isAnswerSent = false;
            isAnswerDue = false;
            client.release(requestBytes);
            requestBytes = 0;
            if (endsAfterAnswer) {
                endAll();
                return;
            }
            if (framer.isEmpty()) {
                sentAhead = 0;
            } else {
                connection.received();
                sentAhead++;
                scheduleOnce(AHEAD_TIMER, Duration.ofMillis(Math.min(MAX_AHEAD_MS, AHEAD_STEP_MS * sentAhead)));
            }
            advance();
        }

        private void endAll() {
            endOutput();
            cancel(fromHttp);
            complete(toHttp);
        }

        private final class FromHttp extends AbstractInHandler {
            @Override
            public void onPush() {
                lastActivityAtMs = clock.nowMs();
                ByteString bytes = grab(fromHttp);
                connection.sent();
                if (isAnswerDue && !connection.isHandled()) {
                    isAnswerSent = true;
                    client.handled(false);
                    if (!client.reserve(bytes.size())) {
                        client.refused(ClientAdmission.Reason.UNREAD_ANSWER);
                        abort("no memory for the answer");
                        return;
                    }
                    requestBytes += bytes.size();
                }
                write(bytes);
            }

            @Override
            public void onUpstreamFinish() {
                isHttpEnded = true;
                if (pendingOutput.isEmpty()) {
                    endOutput();
                }
            }
        }

        private final class ToNet extends AbstractOutHandler {
            @Override
            public void onPull() {
                lastActivityAtMs = clock.nowMs();
                if (!pendingOutput.isEmpty()) {
                    push(toNet, pendingOutput);
                    pendingOutput = ByteString.emptyByteString();
                    return;
                }
                if (isHttpEnded) {
                    endOutput();
                    return;
                }
                if (isRefused) {
                    endAll();
                    return;
                }
                if (isAnswerSent) {
                    answerDelivered();
                }
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
                smallReads += bytes.size() < SMALL_READ_BYTES ? 1 : 0;
                if (isOutputEnded || isRefused || isClosed(toHttp)) {
                    discardedBytes += bytes.size();
                    discardInput();
                    return;
                }
                connection.received();
                if (!client.reserve(framer.capacityFor(bytes.size()) - framer.capacityBytes())) {
                    refuse(503, ClientAdmission.Reason.MEMORY);
                    return;
                }
                framer.add(bytes);
                advance();
            }

            @Override
            public void onUpstreamFinish() {
                if (isClosed(toHttp)) {
                    return;
                }
                advance();
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
                advance();
            }

            /** The HTTP layer reads no further request, but the answer to the last one may be outstanding. */
            @Override
            public void onDownstreamFinish(Throwable cause) {
                // Input is read again, and discarded, once the answer was written.
            }
        }
    }
}
