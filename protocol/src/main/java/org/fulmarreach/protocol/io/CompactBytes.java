package org.fulmarreach.protocol.io;

import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.core.exc.InvariantViolationException;

/** Serializes and deserializes Thrift structs in the compact protocol. Stateless. */
final class CompactBytes {
    private CompactBytes() {}

    static byte[] write(TBase<?, ?> struct) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(struct);
        } catch (TException e) {
            throw new InvariantViolationException(
                    "cannot serialize " + struct.getClass().getSimpleName(), e);
        }
    }

    /** Deserializes within the limits of size and nesting of {@link ThriftBytes}. */
    static void read(TBase<?, ?> struct, byte[] bytes) {
        ThriftBytes.decode(bytes, struct);
    }

    static <T> T require(T value, String field) {
        if (value == null) {
            throw new FrameException("record is missing the field " + field);
        }
        return value;
    }
}
