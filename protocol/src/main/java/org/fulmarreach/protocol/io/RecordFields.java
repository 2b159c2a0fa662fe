package org.fulmarreach.protocol.io;

import org.fulmarreach.core.exc.FrameException;

/** Checks the fields of decoded structs, which Thrift leaves unset or at any value of their type. Stateless. */
final class RecordFields {
    private RecordFields() {}

    /**
     * Returns the value of a field.
     *
     * @throws FrameException if it is not set
     */
    static <T> T require(T value, String name) {
        if (value == null) {
            throw new FrameException("the field " + name + " is missing");
        }
        return value;
    }

    /**
     * Returns the number in a field.
     *
     * @throws FrameException if it is not from {@code min} to {@code max}
     */
    static long requireRange(long value, long min, long max, String name) {
        if (value < min || value > max) {
            throw new FrameException(
                    "expected a number from " + min + " to " + max + " in the field " + name + ", found " + value);
        }
        return value;
    }

    /** As {@link #requireRange(long, long, long, String)}, for integers. */
    static int requireRange(int value, int min, int max, String name) {
        return (int) requireRange((long) value, min, max, name);
    }

    /** As {@link #requireRange(long, long, long, String)}, for fractions; NaN is in no range. */
    static double requireRange(double value, double min, double max, String name) {
        if (!(value >= min && value <= max)) {
            throw new FrameException(
                    "expected a number from " + min + " to " + max + " in the field " + name + ", found " + value);
        }
        return value;
    }

    /** Returns the number in a field that counts something. */
    static int requireCount(int value, String name) {
        return requireRange(value, 0, Integer.MAX_VALUE, name);
    }
}
