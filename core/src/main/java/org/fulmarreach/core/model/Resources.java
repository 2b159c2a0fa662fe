package org.fulmarreach.core.model;

/**
 * Amounts of processors, memory and accelerators, of a VM or a task. Immutable.
 *
 * @param milliCores processors in thousandths of a core, not negative
 * @param memoryMb memory in MiB, not negative
 * @param accelerators number of accelerators, not negative
 */
public record Resources(int milliCores, long memoryMb, int accelerators) {
    /**
     * Largest processors of a VM or a task that reports and requests may name: 1,000 cores. Sums over 2,000 VMs fit
     * into an int.
     */
    public static final int MAX_MILLI_CORES = 1_000_000;

    /** Largest memory of a VM or a task that reports and requests may name: about a pebibyte. */
    public static final long MAX_MEMORY_MB = 1_000_000_000L;

    /** Largest number of accelerators of a VM or a task that reports and requests may name. */
    public static final int MAX_ACCELERATORS = 10_000;

    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Returns the sum of this and {@code other}. */
    public Resources plus(Resources other) {
        return new Resources(
                Math.addExact(milliCores, other.milliCores),
                Math.addExact(memoryMb, other.memoryMb),
                Math.addExact(accelerators, other.accelerators));
    }

    /** Returns the smaller amount of each resource. */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(milliCores, other.milliCores),
                Math.min(memoryMb, other.memoryMb),
                Math.min(accelerators, other.accelerators));
    }

    /** Returns this minus {@code other}; a dimension is negative if {@code other} is larger in it. */
    public Resources minus(Resources other) {
        return new Resources(
                milliCores - other.milliCores, memoryMb - other.memoryMb, accelerators - other.accelerators);
    }

    /** Returns whether this amount fits into {@code capacity} in every dimension. */
    public boolean fitsInto(Resources capacity) {
        return milliCores <= capacity.milliCores
                && memoryMb <= capacity.memoryMb
                && accelerators <= capacity.accelerators;
    }
}
