package org.fulmarreach.runtime.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Set;

import org.apache.pekko.util.ByteString;

/**
 * Cuts the bytes of a connection into whole requests. Header lines that no endpoint reads are left out, so that a
 * request costs the HTTP library as much memory as its few remaining lines. Not thread-safe.
 */
final class RequestFramer {
    /** What the received bytes amount to. */
    sealed interface Result {
        /** The request is not complete; {@code wantsContinue} if the peer waits before it sends the body. */
        record Incomplete(boolean wantsContinue) implements Result {}

        /**
         * A request with its whole body.
         *
         * @param bytes request for the HTTP library
         * @param costBytes estimated memory until it is answered
         * @param isLast true if the rest of the body is not read, so that the connection ends with the answer
         */
        record Complete(ByteString bytes, long costBytes, boolean isLast) implements Result {}

        /** A head whose body follows as {@link Body}, so that the handler can answer before the body has arrived. */
        record HeadOnly(ByteString bytes, long costBytes) implements Result {}

        /** The whole body of a head that was returned before. */
        record Body(ByteString bytes, long costBytes) implements Result {}

        /** A request that must not reach the HTTP library. */
        record Refused(int status, String reason) implements Result {}
    }

    private static final Result.Incomplete INCOMPLETE = new Result.Incomplete(false);
    private static final int MAX_REQUEST_LINE_BYTES = 8_300;
    private static final int MAX_CHUNK_LINE_BYTES = 256;
    private static final int MAX_FORWARDED_LINES = 128;
    private static final int MIN_CAPACITY = 512;
    private static final int NONE = -1;
    private static final byte[] NO_BYTES = {};

    /** Estimates of the memory of parsed requests, from the objects that the HTTP library and endpoints create. */
    private static final int REQUEST_COST_BYTES = 4_096;

    private static final int LINE_COST_BYTES = 512;
    private static final int SEGMENT_COST_BYTES = 160;
    private static final int COPIES = 4;

    private final int maxHeaderBytes;
    private final int maxBodyBytes;
    private final Set<String> forwardedNames;

    private byte[] buffer = NO_BYTES;
    private int length;
    private int scanned;
    private int lineBytes;
    private int requestLineEnd = NONE;
    private int headEnd = NONE;
    private Head head;
    private int bodyEnd;
    private int chunkRemaining = NONE;
    private boolean inTrailer;
    private boolean isHeadPassed;

    /**
     * Constructs a framer.
     *
     * @param maxHeaderBytes largest header section in bytes
     * @param maxBodyBytes largest body that is buffered; larger ones are left to the endpoint, which refuses them
     * @param forwardedNames header names in lower case that endpoints read; empty for all
     */
    RequestFramer(int maxHeaderBytes, int maxBodyBytes, Set<String> forwardedNames) {
        this.maxHeaderBytes = maxHeaderBytes;
        this.maxBodyBytes = maxBodyBytes;
        this.forwardedNames = forwardedNames;
    }

    /** Returns whether no byte of a request is held. */
    boolean isEmpty() {
        return length == 0;
    }

    /** Returns the memory that the held bytes occupy. */
    int capacityBytes() {
        return buffer.length;
    }

    /** Returns the memory that will be occupied after {@code bytes} more were added. */
    int capacityFor(int bytes) {
        int needed = length + bytes;
        return needed <= buffer.length ? buffer.length : Math.max(MIN_CAPACITY, needed + needed / 2);
    }

    /** Adds received bytes. */
    void add(ByteString bytes) {
        int size = bytes.size();
        if (length + size > buffer.length) {
            buffer = Arrays.copyOf(buffer, capacityFor(size));
        }
        bytes.copyToArray(buffer, length, size);
        length += size;
    }

    /** Drops the held bytes; no other method may be called afterwards, except {@link #capacityBytes}. */
    void close() {
        buffer = NO_BYTES;
        length = 0;
        head = null;
    }

    /** Returns the next request; after {@link Result.Refused} no further call is allowed. */
    Result next() {
        if (headEnd == NONE) {
            Result unfinished = scanHead();
            if (unfinished != null) {
                return unfinished;
            }
        }
        if (head.refusal != null) {
            return head.refusal;
        }
        if (head.isChunked) {
            return nextChunked();
        }
        if (head.contentLength > maxBodyBytes) {
            return complete(headEnd, headEnd, head.contentLength, true);
        }
        return nextFixed(headEnd + (int) head.contentLength);
    }

    private Result nextFixed(int end) {
        boolean isWhole = length >= end;
        if (!isWhole && !isHeadPassed) {
            isHeadPassed = true;
            ByteString bytes = ByteString.fromArrayUnsafe(encode(headEnd, head.contentLength));
            return new Result.HeadOnly(bytes, estimateCost(bytes.size()));
        }
        if (isWhole && isHeadPassed) {
            ByteString bytes = ByteString.fromArrayUnsafe(Arrays.copyOfRange(buffer, headEnd, end));
            reset(end);
            return new Result.Body(bytes, (long) COPIES * bytes.size());
        }
        return isWhole ? complete(end, end, head.contentLength, false) : new Result.Incomplete(head.expectsContinue);
    }

    /*
     * Head
     */

    private Result scanHead() {
        if (scanned == 0) {
            skipEmptyLines();
        }
        while (scanned < length) {
            byte next = buffer[scanned++];
            if (next != '\n') {
                lineBytes += next == '\r' ? 0 : 1;
                continue;
            }
            if (requestLineEnd == NONE) {
                requestLineEnd = scanned;
            } else if (lineBytes == 0) {
                headEnd = scanned;
                break;
            }
            lineBytes = 0;
        }
        int requestLineBytes = requestLineEnd == NONE ? scanned : requestLineEnd;
        if (requestLineBytes > MAX_REQUEST_LINE_BYTES) {
            return new Result.Refused(414, "requestLine");
        }
        if (scanned - requestLineBytes > maxHeaderBytes) {
            return new Result.Refused(431, "headerBytes");
        }
        if (headEnd == NONE) {
            return INCOMPLETE;
        }
        head = new Head();
        head.parse();
        bodyEnd = headEnd;
        return null;
    }

    private void skipEmptyLines() {
        int start = 0;
        while (start < length && (buffer[start] == '\r' || buffer[start] == '\n')) {
            start++;
        }
        removeFirst(start);
    }

    /** The parts of a head that decide where the request ends, and the lines for the HTTP library. */
    private final class Head {
        private final ByteArrayOutputStream forwarded = new ByteArrayOutputStream(256);
        private long contentLength;
        private boolean hasLength;
        private boolean isChunked;
        private boolean expectsContinue;
        private boolean closes;
        private boolean keepsAlive;
        private int forwardedLines;
        private Result.Refused refusal;

        private void parse() {
            int start = requestLineEnd;
            while (start < headEnd && refusal == null) {
                int end = endOfField(start);
                parseField(start, end);
                start = end;
            }
            if (isChunked && hasLength) {
                refusal = new Result.Refused(400, "ambiguousLength");
            }
        }

        /** A line that begins with a blank continues the field. */
        private int endOfField(int start) {
            int end = start;
            do {
                while (buffer[end++] != '\n') {
                    // Goes to the end of the line.
                }
            } while (end < headEnd && (buffer[end] == ' ' || buffer[end] == '\t'));
            return end;
        }

        private void parseField(int start, int end) {
            if (buffer[start] == '\r' || buffer[start] == '\n') {
                return;
            }
            int colon = start;
            while (colon < end && isTokenChar(buffer[colon])) {
                colon++;
            }
            if (colon == start || buffer[colon] != ':') {
                refusal = new Result.Refused(400, "malformedLine");
                return;
            }
            switch (nameOf(start, colon)) {
                case "content-length" -> parseLength(valueOf(colon + 1, end));
                case "transfer-encoding" -> parseEncoding(valueOf(colon + 1, end));
                case "expect" -> expectsContinue = valueOf(colon + 1, end).equalsIgnoreCase("100-continue");
                case "connection" -> {
                    String value = valueOf(colon + 1, end).toLowerCase(Locale.ROOT);
                    closes |= value.contains("close");
                    keepsAlive |= value.contains("keep-alive");
                }
                case String name -> {
                    boolean isForwarded = forwardedNames.isEmpty() || forwardedNames.contains(name);
                    if (isForwarded && forwardedLines++ == MAX_FORWARDED_LINES) {
                        // Leaving out a line that an endpoint reads would change what the request means.
                        refusal = new Result.Refused(431, "headerLines");
                    } else if (isForwarded) {
                        forwarded.write(buffer, start, colon + 1 - start);
                        writeLine(forwarded, " " + valueOf(colon + 1, end));
                    }
                }
            }
        }

        private void parseLength(String value) {
            boolean isNumber =
                    !value.isEmpty() && value.length() <= 18 && value.chars().allMatch(c -> c >= '0' && c <= '9');
            if (!isNumber || hasLength && Long.parseLong(value) != contentLength) {
                refusal = new Result.Refused(400, "ambiguousLength");
                return;
            }
            hasLength = true;
            contentLength = Long.parseLong(value);
        }

        private void parseEncoding(String value) {
            if (isChunked || !value.equalsIgnoreCase("chunked")) {
                refusal = new Result.Refused(501, "transferEncoding");
            }
            isChunked = true;
        }

        /** Returns the name in lower case; names longer than any known one are not decoded. */
        private String nameOf(int start, int end) {
            boolean isLongerThanKnown = !forwardedNames.isEmpty() && end - start > 64;
            return isLongerThanKnown
                    ? ""
                    : new String(buffer, start, end - start, StandardCharsets.ISO_8859_1).toLowerCase(Locale.ROOT);
        }

        private String valueOf(int start, int end) {
            return new String(buffer, start, end - start, StandardCharsets.ISO_8859_1)
                    .replace('\r', ' ')
                    .replace('\n', ' ')
                    .trim();
        }
    }

    private static boolean isTokenChar(byte c) {
        return c > ' ' && c < 127 && "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0;
    }

    /*
     * Body
     */

    /** Decodes the chunks that have arrived; what was decoded stays behind the head. */
    private Result nextChunked() {
        int position = bodyEnd;
        while (true) {
            if (chunkRemaining > 0) {
                int size = Math.min(chunkRemaining, length - position);
                System.arraycopy(buffer, position, buffer, bodyEnd, size);
                bodyEnd += size;
                position += size;
                chunkRemaining -= size;
                if (chunkRemaining > 0) {
                    break;
                }
            }
            int lineEnd = findLineEnd(position);
            if (lineEnd == NONE) {
                if (length - position > MAX_CHUNK_LINE_BYTES) {
                    return new Result.Refused(400, "chunkLine");
                }
                break;
            }
            String line = new String(buffer, position, lineEnd - position, StandardCharsets.ISO_8859_1).trim();
            position = lineEnd;
            if (inTrailer) {
                if (line.isEmpty()) {
                    return complete(bodyEnd, position, bodyEnd - headEnd, false);
                }
            } else if (chunkRemaining == 0) {
                chunkRemaining = NONE;
                if (!line.isEmpty()) {
                    return new Result.Refused(400, "chunkLine");
                }
            } else {
                chunkRemaining = parseChunkSize(line);
                if (chunkRemaining == NONE) {
                    return new Result.Refused(400, "chunkLine");
                }
                inTrailer = chunkRemaining == 0;
            }
            if ((long) bodyEnd - headEnd + Math.max(0, chunkRemaining) > maxBodyBytes) {
                return complete(headEnd, headEnd, maxBodyBytes + 1L, true);
            }
        }
        System.arraycopy(buffer, position, buffer, bodyEnd, length - position);
        length -= position - bodyEnd;
        return new Result.Incomplete(head.expectsContinue);
    }

    private int findLineEnd(int start) {
        for (int i = start; i < length; i++) {
            if (buffer[i] == '\n') {
                return i + 1;
            }
        }
        return NONE;
    }

    private static int parseChunkSize(String line) {
        int extension = line.indexOf(';');
        String digits = (extension < 0 ? line : line.substring(0, extension)).trim();
        try {
            return digits.isEmpty() || digits.length() > 7 || digits.charAt(0) == '-' || digits.charAt(0) == '+'
                    ? NONE
                    : Integer.parseInt(digits, 16);
        } catch (NumberFormatException e) {
            return NONE;
        }
    }

    /**
     * Removes a request from the buffer.
     *
     * @param bodyUntil end of the body in the buffer
     * @param rawUntil end of the request in the buffer
     * @param declaredBytes length for the HTTP library
     */
    private Result complete(int bodyUntil, int rawUntil, long declaredBytes, boolean isLast) {
        byte[] bytes = encode(bodyUntil, declaredBytes);
        long costBytes = estimateCost(bytes.length);
        reset(rawUntil);
        return new Result.Complete(ByteString.fromArrayUnsafe(bytes), costBytes, isLast);
    }

    private byte[] encode(int bodyUntil, long declaredBytes) {
        ByteArrayOutputStream out =
                new ByteArrayOutputStream(requestLineEnd + head.forwarded.size() + 64 + bodyUntil - headEnd);
        out.write(buffer, 0, requestLineEnd);
        out.writeBytes(head.forwarded.toByteArray());
        if (head.closes) {
            writeLine(out, "Connection: close");
        } else if (head.keepsAlive) {
            writeLine(out, "Connection: keep-alive");
        }
        if (head.hasLength || head.isChunked) {
            writeLine(out, "Content-Length: " + declaredBytes);
        }
        writeLine(out, "");
        out.write(buffer, headEnd, bodyUntil - headEnd);
        return out.toByteArray();
    }

    private long estimateCost(int bytes) {
        return REQUEST_COST_BYTES
                + (long) COPIES * bytes
                + (long) LINE_COST_BYTES * head.forwardedLines
                + (long) SEGMENT_COST_BYTES * countSegments();
    }

    private void reset(int rawUntil) {
        removeFirst(rawUntil);
        scanned = 0;
        lineBytes = 0;
        requestLineEnd = NONE;
        headEnd = NONE;
        head = null;
        isHeadPassed = false;
        chunkRemaining = NONE;
        inTrailer = false;
    }

    private int countSegments() {
        int segments = 0;
        for (int i = 0; i < requestLineEnd; i++) {
            segments += buffer[i] == '/' || buffer[i] == '&' || buffer[i] == '=' ? 1 : 0;
        }
        return segments;
    }

    private void removeFirst(int bytes) {
        if (bytes > 0) {
            buffer = Arrays.copyOfRange(buffer, bytes, length);
            length -= bytes;
        }
    }

    private static void writeLine(ByteArrayOutputStream out, String line) {
        out.writeBytes((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }
}
