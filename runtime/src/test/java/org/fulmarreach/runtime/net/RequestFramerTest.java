package org.fulmarreach.runtime.net;

import java.util.Set;

import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that are cut at the wrong place, and against heads that cost memory by their lines. */
class RequestFramerTest {
    private final RequestFramer framer = new RequestFramer(16_384, 1_000, Set.of("host"));

    @Test
    void linesThatNobodyReadsAreLeftOut() {
        RequestFramer.Result.Complete request =
                complete("GET /a HTTP/1.1\r\nHost: a\r\n" + "a:b\r\n".repeat(3_000) + "\r\n");
        assertEquals("GET /a HTTP/1.1\r\nHost: a\r\n\r\n", request.bytes().utf8String());
        assertTrue(request.costBytes() < 8_192, "cost: " + request.costBytes());
    }

    @Test
    void requestsSentAheadAreReturnedOneByOne() {
        String first = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy";
        String second = "GET /b HTTP/1.1\r\n\r\n";
        assertEquals(first, complete(first + second).bytes().utf8String());
        assertEquals(second, complete("").bytes().utf8String());
        assertTrue(framer.isEmpty());
    }

    /** A head that arrives in many parts was parsed again with each part. */
    @Test
    void singleBytesMakeTheSameRequest() {
        String request = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nT: u\r\n\r\n";
        RequestFramer.Result result = null;
        for (char next : request.toCharArray()) {
            result = next(String.valueOf(next));
        }
        assertEquals(
                "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd",
                assertInstanceOf(RequestFramer.Result.Complete.class, result)
                        .bytes()
                        .utf8String());
    }

    @Test
    void declaredBodyFollowsItsHead() {
        assertInstanceOf(RequestFramer.Result.HeadOnly.class, next("POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nab"));
        assertInstanceOf(RequestFramer.Result.Incomplete.class, next("c"));
        assertEquals(
                "abcd",
                assertInstanceOf(RequestFramer.Result.Body.class, next("d"))
                        .bytes()
                        .utf8String());
    }

    /** The endpoint refuses a body that is too large by its declared length, with its own answer. */
    @Test
    void tooLargeBodyIsNotBuffered() {
        assertTrue(complete("POST /a HTTP/1.1\r\nContent-Length: 2000\r\n\r\n").isLast());
    }

    /** Two readings of the length of a body would let a client hide a request in it. */
    @Test
    void ambiguousLengthIsRefused() {
        assertEquals(400, refused("POST /a HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n"));
    }

    /** Lines after the 128th were left out in silence, a request ID or a time limit among them. */
    @Test
    void linesThatAnEndpointReadsAreNotLeftOut() {
        assertEquals(431, refused("GET /a HTTP/1.1\r\n" + "Host: a\r\n".repeat(129) + "\r\n"));
    }

    @Test
    void tooLongHeadIsRefusedBeforeItsEnd() {
        assertEquals(431, refused("GET /a HTTP/1.1\r\nA: " + "b".repeat(17_000)));
    }

    private RequestFramer.Result next(String text) {
        framer.add(ByteString.fromString(text));
        return framer.next();
    }

    private RequestFramer.Result.Complete complete(String text) {
        return assertInstanceOf(RequestFramer.Result.Complete.class, next(text));
    }

    private int refused(String text) {
        return assertInstanceOf(RequestFramer.Result.Refused.class, next(text)).status();
    }
}
