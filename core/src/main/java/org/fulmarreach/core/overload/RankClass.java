package org.fulmarreach.core.overload;

/**
 * Whether a waiting job that ends can still meet its target, in order of precedence among jobs of equal priority;
 * records contain the ordinal, so the order of the constants is fixed.
 */
public enum RankClass {
    /** Can still be completed within its target. */
    ON_TIME,
    /** Will miss its target, but its result is still of some use. */
    LATE,
    /** Its result will be of no use. */
    USELESS
}
