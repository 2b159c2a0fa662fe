package org.fulmarreach.runtime.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** Sends one request over a plain socket at a given time, and tells what became of it. Thread-safe. */
final class DrainCaller {
    /** How the request is sent. */
    enum Kind {
        /** On a new connection, in one packet. */
        NEW_CONNECTION,
        /** On a new connection, with the body 30 ms after the head. */
        BODY_LATER,
        /** On a connection that has had one answer before. */
        KEPT_ALIVE,
        /** On a connection that was opened before the stop and has not been used. */
        OPENED_EARLIER
    }

    /**
     * What became of a request.
     *
     * @param kind how it was sent
     * @param offsetMs when it was sent, after the start of the drain
     * @param result status of the answer, {@code REFUSED} if it was not sent because the connection was refused or had
     *     ended, otherwise {@code LOST}
     * @param elapsedMs time until the result
     */
    record Outcome(Kind kind, long offsetMs, String result, long elapsedMs) {
        boolean isLost() {
            return result.startsWith("LOST");
        }
    }

    private static final byte[] BODY = "{\"work\":1}".getBytes(StandardCharsets.UTF_8);
    private static final byte[] HEAD = ("POST /v1/a HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
                    + "Content-Length: " + BODY.length + "\r\n\r\n")
            .getBytes(StandardCharsets.UTF_8);
    private static final int BODY_DELAY_MS = 30;
    private static final int ANSWER_TIMEOUT_MS = 10_000;

    private final int port;

    DrainCaller(int port) {
        this.port = port;
    }

    /** Opens the connections that exist before the drain; null for kinds that open theirs later. */
    Socket prepare(Kind kind) throws IOException {
        if (kind == Kind.NEW_CONNECTION || kind == Kind.BODY_LATER) {
            return null;
        }
        Socket socket = connect();
        if (kind == Kind.KEPT_ALIVE) {
            socket.getOutputStream().write(concatenate());
            readAnswer(socket.getInputStream());
        }
        return socket;
    }

    /** Sends the request now. */
    Outcome send(Kind kind, Socket prepared, long offsetMs) throws InterruptedException {
        long startedAt = System.nanoTime();
        String result;
        try (Socket socket = prepared == null ? connect() : prepared) {
            result = hasEnded(socket) ? "REFUSED" : exchange(kind, socket);
        } catch (ConnectException e) {
            result = "REFUSED";
        } catch (IOException e) {
            result = "LOST " + e.getMessage();
        }
        return new Outcome(kind, offsetMs, result, (System.nanoTime() - startedAt) / 1_000_000);
    }

    private static String exchange(Kind kind, Socket socket) throws IOException, InterruptedException {
        if (kind == Kind.BODY_LATER) {
            socket.getOutputStream().write(HEAD);
            Thread.sleep(BODY_DELAY_MS);
            socket.getOutputStream().write(BODY);
        } else {
            socket.getOutputStream().write(concatenate());
        }
        return readAnswer(socket.getInputStream());
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(ANSWER_TIMEOUT_MS);
        return socket;
    }

    /** Whether the server had closed or reset the connection before the request was sent. */
    private static boolean hasEnded(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true;
        } finally {
            socket.setSoTimeout(ANSWER_TIMEOUT_MS);
        }
    }

    private static byte[] concatenate() {
        byte[] whole = new byte[HEAD.length + BODY.length];
        System.arraycopy(HEAD, 0, whole, 0, HEAD.length);
        System.arraycopy(BODY, 0, whole, HEAD.length, BODY.length);
        return whole;
    }

    /** Returns the status of a whole answer. */
    private static String readAnswer(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed after " + head.size() + " bytes of the answer");
            }
            head.write(next);
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        int length = Integer.parseInt(text.replaceAll("(?is).*content-length: *(\\d+).*", "$1"));
        if (in.readNBytes(length).length < length) {
            throw new IOException("closed within the body of the answer");
        }
        return text.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length());
    }
}
