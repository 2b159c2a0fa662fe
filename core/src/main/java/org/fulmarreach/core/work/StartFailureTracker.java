package org.fulmarreach.core.work;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks VMs whose workers fail the tasks that they start. A VM that fails two different units of work in a row is
 * ejected for some time. After that, one start at a time probes the VM, and each further failure doubles the ejection
 * time. Not thread-safe; owned by its scheduler.
 */
final class StartFailureTracker {
    private static final int EJECT_AFTER_FAILURES = 2;
    private static final long FIRST_EJECTION_MS = 60_000;
    private static final long MAX_EJECTION_MS = 15 * 60_000L;

    private static final class VmRecord {
        private String lastFailedWork = "";
        private int failures;
        private long ejectMs;
        private long ejectedUntilMs = Placement.NEVER;
        private boolean probing;
    }

    private final Map<String, VmRecord> records = new HashMap<>();

    /** Records a failed task; returns whether the failure ejects the VM. */
    boolean recordFailure(String vm, String work, long nowMs) {
        VmRecord vmRecord = records.computeIfAbsent(vm, id -> new VmRecord());
        // Repeated failures of the same work count once, so that work that can never run does not eject a healthy VM.
        if (!work.equals(vmRecord.lastFailedWork) || vmRecord.probing) {
            vmRecord.failures++;
        }
        vmRecord.lastFailedWork = work;
        vmRecord.probing = false;
        if (vmRecord.failures < EJECT_AFTER_FAILURES) {
            return false;
        }
        return eject(vmRecord, nowMs);
    }

    /** Records a guard's report that its worker is failing; returns whether the report newly ejects the VM. */
    boolean recordFailingWorker(String vm, long nowMs) {
        VmRecord vmRecord = records.computeIfAbsent(vm, id -> new VmRecord());
        if (vmRecord.ejectMs > 0) {
            return false;
        }
        vmRecord.failures = EJECT_AFTER_FAILURES;
        return eject(vmRecord, nowMs);
    }

    void recordSuccess(String vm) {
        records.remove(vm);
    }

    /**
     * Returns whether a task may be placed on the VM; after an ejection has expired, one probe at a time is allowed.
     */
    boolean isUsable(String vm, long nowMs) {
        VmRecord vmRecord = records.get(vm);
        return vmRecord == null || vmRecord.ejectMs == 0 || nowMs >= vmRecord.ejectedUntilMs && !vmRecord.probing;
    }

    /** Returns the recent failures relative to the ejection threshold, from 0 to 1, so that other VMs are preferred. */
    double findRisk(String vm) {
        VmRecord vmRecord = records.get(vm);
        return vmRecord == null ? 0 : Math.min(1, vmRecord.failures / (double) EJECT_AFTER_FAILURES);
    }

    /** Records a placement on the VM; on an ejected VM it is the probe. */
    void recordPlacement(String vm) {
        VmRecord vmRecord = records.get(vm);
        if (vmRecord != null && vmRecord.ejectMs > 0) {
            vmRecord.probing = true;
        }
    }

    /**
     * Records that a placement ended without showing whether the worker is healthy, so that another probe may start.
     */
    void clearProbe(String vm) {
        VmRecord vmRecord = records.get(vm);
        if (vmRecord != null) {
            vmRecord.probing = false;
        }
    }

    private static boolean eject(VmRecord vmRecord, long nowMs) {
        vmRecord.ejectMs = Math.min(MAX_EJECTION_MS, vmRecord.ejectMs == 0 ? FIRST_EJECTION_MS : 2 * vmRecord.ejectMs);
        vmRecord.ejectedUntilMs = nowMs + vmRecord.ejectMs;
        return true;
    }
}
