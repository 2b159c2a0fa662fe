package org.fulmarreach.core.model;

/** Sizes of texts in UTF-8. Stateless. */
public final class Utf8 {
    private static final int MAX_ONE_BYTE = 0x7f;
    private static final int MAX_TWO_BYTES = 0x7ff;

    private Utf8() {}

    /** Returns the number of bytes of a text in UTF-8, without encoding it. */
    public static int length(String text) {
        int bytes = text.length();
        for (int i = 0; i < text.length(); i++) {
            char each = text.charAt(i);
            if (each > MAX_TWO_BYTES && !Character.isSurrogate(each)) {
                bytes += 2;
            } else if (each > MAX_ONE_BYTE) {
                // A surrogate pair is two characters and four bytes.
                bytes++;
            }
        }
        return bytes;
    }
}
