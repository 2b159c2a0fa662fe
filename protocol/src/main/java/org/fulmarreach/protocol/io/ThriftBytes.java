package org.fulmarreach.protocol.io;

import org.apache.thrift.TBase;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.fulmarreach.core.exc.FrameException;

/** Converts Thrift structs to bytes in compact protocol and back. Stateless and thread-safe. */
public final class ThriftBytes {
    /** Largest encoded struct in bytes; bounds what one message can make a reader allocate. */
    public static final int MAX_STRUCT_BYTES = 4 * 1024 * 1024;

    private static final int INITIAL_BUFFER_BYTES = 256;
    /** The structs of this project nest fewer than ten levels, and the programs' threads have stacks of 256 KB. */
    private static final int MAX_NESTING = 32;

    static {
        // Thrift skips unknown fields by recursion, and its limit for them is a static one without an upper bound.
        TProtocolUtil.setMaxSkipDepth(MAX_NESTING);
    }

    private ThriftBytes() {}

    /**
     * Encodes a struct.
     *
     * @param struct struct to encode, all required fields set
     * @return bytes in compact protocol
     * @throws FrameException if the struct cannot be written or is over {@link #MAX_STRUCT_BYTES}
     */
    public static byte[] encode(TBase<?, ?> struct) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BUFFER_BYTES);
            struct.write(new TCompactProtocol(buffer));
            if (buffer.length() > MAX_STRUCT_BYTES) {
                throw new FrameException("encoded " + struct.getClass().getSimpleName() + " has " + buffer.length()
                        + " bytes, the limit is " + MAX_STRUCT_BYTES);
            }
            byte[] bytes = new byte[buffer.length()];
            System.arraycopy(buffer.getArray(), 0, bytes, 0, bytes.length);
            return bytes;
        } catch (TException e) {
            throw new FrameException("cannot encode " + struct.getClass().getSimpleName(), e);
        }
    }

    /**
     * Decodes a struct.
     *
     * @param bytes bytes in compact protocol
     * @param target empty struct that receives the fields
     * @param <T> type of the struct
     * @return {@code target}
     * @throws FrameException if the bytes are malformed or over {@link #MAX_STRUCT_BYTES}
     */
    public static <T extends TBase<?, ?>> T decode(byte[] bytes, T target) {
        return decode(bytes, 0, bytes.length, target);
    }

    /**
     * Decodes a struct from a range of an array. Binary fields of the struct refer to the array, so the range must not
     * be changed afterwards.
     *
     * @param bytes array that contains bytes in compact protocol
     * @param offset index of the first byte of the struct
     * @param length size of the struct in bytes
     * @param target empty struct that receives the fields
     * @param <T> type of the struct
     * @return {@code target}
     * @throws FrameException if the bytes are malformed or over {@link #MAX_STRUCT_BYTES}
     */
    public static <T extends TBase<?, ?>> T decode(byte[] bytes, int offset, int length, T target) {
        if (length > MAX_STRUCT_BYTES) {
            throw new FrameException("struct of " + length + " bytes, the limit is " + MAX_STRUCT_BYTES);
        }
        try {
            TConfiguration limits = new TConfiguration(MAX_STRUCT_BYTES, MAX_STRUCT_BYTES, MAX_NESTING);
            target.read(new TCompactProtocol(
                    new TMemoryInputTransport(limits, bytes, offset, length), MAX_STRUCT_BYTES, MAX_STRUCT_BYTES));
            return target;
        } catch (TException | RuntimeException e) {
            throw new FrameException("malformed " + target.getClass().getSimpleName() + " of " + length + " bytes", e);
        }
    }
}
