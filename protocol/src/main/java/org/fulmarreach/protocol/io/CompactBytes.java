package org.fulmarreach.protocol.io;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
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

    static void read(TBase<?, ?> struct, byte[] bytes) {
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(struct, bytes);
        } catch (TException | RuntimeException e) {
            // The generated readers throw unchecked exceptions for some malformed lengths.
            throw new FrameException(
                    "cannot deserialize " + struct.getClass().getSimpleName() + " from " + bytes.length + " bytes", e);
        }
    }

    static <T> T require(T value, String field) {
        if (value == null) {
            throw new FrameException("record is missing the field " + field);
        }
        return value;
    }
}
