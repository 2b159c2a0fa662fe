package org.fulmarreach.protocol.io;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicReference;

import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.JobRequest;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Records and frames of other writers whose bytes claim more than they hold, or nest too deeply. */
class ThriftBytesTest {
    /** Stack of the programs' threads, from {@code -Xss256k} in deploy/system.toml. */
    private static final long STACK_BYTES = 256 * 1024;

    private static final int DEEP_LEVELS = 100_000;

    /** Compact protocol: field 15, of type list. */
    private static final byte UNKNOWN_LIST_FIELD = (byte) 0xf9;

    /** Compact protocol: field 15, of type struct. */
    private static final byte UNKNOWN_STRUCT_FIELD = (byte) 0xfc;

    /** Compact protocol: one element, of type list. */
    private static final byte ONE_LIST = 0x19;

    /**
     * A field that the reader does not know is skipped by recursion, which Thrift does not limit. The
     * StackOverflowError passed each catch clause; from a frame or a record it ended the process.
     */
    @Test
    void deepUnknownListIsAFrameExceptionOnASmallStack() throws Exception {
        byte[] bytes = filled(ONE_LIST);
        bytes[0] = UNKNOWN_LIST_FIELD;
        assertInstanceOf(FrameException.class, decodeOnSmallStack(bytes));
    }

    @Test
    void deepUnknownStructIsAFrameExceptionOnASmallStack() throws Exception {
        assertInstanceOf(FrameException.class, decodeOnSmallStack(filled(UNKNOWN_STRUCT_FIELD)));
    }

    /** A size beyond the bytes that follow must not be allocated. */
    @Test
    void sizesBeyondTheRecordAreFrameExceptions() {
        byte[][] records = {
            // submitted, then a queue of 2^31 - 1 bytes.
            {0x1c, 0x18, (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0x07},
            // submitted, then 2^31 - 1 steps.
            {0x1c, 0x39, (byte) 0xfc, (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0x07},
            // submitted, then a queue of a negative length.
            {0x1c, 0x18, (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0x0f},
            // submitted, then a list whose elements have an unknown type.
            {0x1c, 0x39, 0x1f, 0x00},
            {}
        };
        for (byte[] record : records) {
            assertThrows(
                    FrameException.class,
                    () -> ThriftBytes.decode(record, new JobRequest()),
                    () -> Arrays.toString(record));
        }
    }

    private static byte[] filled(byte value) {
        byte[] bytes = new byte[DEEP_LEVELS];
        Arrays.fill(bytes, value);
        return bytes;
    }

    /** Returns what the decoding of a frame throws on a thread with the stack of the programs. */
    private static Throwable decodeOnSmallStack(byte[] bytes) throws InterruptedException {
        AtomicReference<Throwable> thrown = new AtomicReference<>();
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        ThriftBytes.decode(bytes, new Frame());
                    } catch (Throwable e) {
                        thrown.set(e);
                    }
                },
                "small-stack",
                STACK_BYTES);
        thread.start();
        thread.join();
        return thrown.get();
    }
}
