package org.fulmarreach.core.work;

import java.util.HashMap;
import java.util.Map;

/**
 * Avoids VMs whose workers fail what they start. A VM that failed two different works in a row is ejected; then one
 * start at a time probes it, and each further failure doubles the ejection. Not thread-safe; owned by its scheduler.
 */
final class StartHealth {
    private static final int EJECT_FAILURES = 2;
    private static final long EJECT_MS = 60_000;
    private static final long MAX_EJECT_MS = 15 * 60_000L;

    private static final class Record {
        private String lastFailedWork = "";
        private int failures;
        private long ejectMs;
        private long ejectedUntilMs = Placement.NEVER;
        private boolean probing;
    }

    private final Map<String, Record> records = new HashMap<>();

    /** Takes a failed task; returns whether the VM is ejected by it. */
    boolean fail(String vm, String work, long nowMs) {
        Record vmRecord = records.computeIfAbsent(vm, id -> new Record());
        // One job that can never run must not eject a good VM, so a repetition of the same work counts once.
        if (!work.equals(vmRecord.lastFailedWork) || vmRecord.probing) {
            vmRecord.failures++;
        }
        vmRecord.lastFailedWork = work;
        vmRecord.probing = false;
        if (vmRecord.failures < EJECT_FAILURES) {
            return false;
        }
        return eject(vmRecord, nowMs);
    }

    /** Takes a report of the guard that its worker fails; returns whether the VM is newly ejected by it. */
    boolean reportFailing(String vm, long nowMs) {
        Record vmRecord = records.computeIfAbsent(vm, id -> new Record());
        if (vmRecord.ejectMs > 0) {
            return false;
        }
        vmRecord.failures = EJECT_FAILURES;
        return eject(vmRecord, nowMs);
    }

    void succeed(String vm) {
        records.remove(vm);
    }

    /** Tells whether a start may be placed; for an ejected VM whose time is over, one probe is. */
    boolean isUsable(String vm, long nowMs) {
        Record vmRecord = records.get(vm);
        return vmRecord == null || vmRecord.ejectMs == 0 || nowMs >= vmRecord.ejectedUntilMs && !vmRecord.probing;
    }

    /** Returns the part of the VM's starts that failed lately, between 0 and 1, to prefer others. */
    double findRisk(String vm) {
        Record vmRecord = records.get(vm);
        return vmRecord == null ? 0 : Math.min(1, vmRecord.failures / (double) EJECT_FAILURES);
    }

    /** Takes note of a placement on the VM. */
    void place(String vm) {
        Record vmRecord = records.get(vm);
        if (vmRecord != null && vmRecord.ejectMs > 0) {
            vmRecord.probing = true;
        }
    }

    /** Takes note that a placement ended without a verdict on the worker. */
    void forgetProbe(String vm) {
        Record vmRecord = records.get(vm);
        if (vmRecord != null) {
            vmRecord.probing = false;
        }
    }

    private static boolean eject(Record vmRecord, long nowMs) {
        vmRecord.ejectMs = Math.min(MAX_EJECT_MS, vmRecord.ejectMs == 0 ? EJECT_MS : 2 * vmRecord.ejectMs);
        vmRecord.ejectedUntilMs = nowMs + vmRecord.ejectMs;
        return true;
    }
}
