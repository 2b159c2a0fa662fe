package org.fulmarreach.entry.jobs;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/** Publishes the view of an entry for other threads, and decides whether it is ready. Confined to one actor. */
final class ViewPublisher {
    /** An entry whose reads of the requests have failed for this long reports itself as not ready. */
    private static final long UNREADY_AFTER_MS = 1_500;

    private final AtomicReference<JobsCommand.View> view;
    private final ConfigFollower config;
    private final LogTail requests;
    private final Supplier<JobReads> reads;
    private final MonotonicClock clock;
    private final EventLog log;
    private long requestsReadAtMs;

    /**
     * Constructs a publisher.
     *
     * @param view is updated
     * @param config the followed configuration
     * @param requests the followed partition of callers' requests
     * @param reads returns what other threads may answer to callers' reads
     */
    ViewPublisher(
            AtomicReference<JobsCommand.View> view,
            ConfigFollower config,
            LogTail requests,
            Supplier<JobReads> reads,
            MonotonicClock clock,
            EventLog log) {
        this.view = view;
        this.config = config;
        this.requests = requests;
        this.reads = reads;
        this.clock = clock;
        this.log = log;
        this.requestsReadAtMs = clock.nowMs();
    }

    void onRequestsRead() {
        requestsReadAtMs = clock.nowMs();
    }

    /**
     * Publishes the present state.
     *
     * @param draining whether the entry is stopping
     * @param standingWaitMs how long the standing task that has waited longest is not at work, in milliseconds
     * @param headroomMilliCores processors that standing tasks leave to short jobs, in thousandths
     */
    void publish(boolean draining, long standingWaitMs, long headroomMilliCores) {
        String reason = findUnreadyReason(draining);
        if (!reason.equals(view.get().unreadyReason())) {
            log.emit(reason.isEmpty() ? JobEvent.ENTRY_READY : JobEvent.ENTRY_UNREADY, "reason", reason);
        }
        view.set(new JobsCommand.View(
                config.active(),
                config.knownUpToMs(),
                config.applyMs(),
                reason,
                standingWaitMs,
                headroomMilliCores,
                config.evacuatedZones().zones().size(),
                reads.get()));
    }

    /** Requests can be stored before the jobs are loaded; queries of jobs are refused until then. */
    private String findUnreadyReason(boolean draining) {
        if (draining) {
            return "this entry is stopping";
        }
        if (config.active() == null) {
            return "this entry has not loaded its configuration yet";
        }
        if (config.isOutdated()) {
            return "the configuration may be out of date";
        }
        boolean readable = !requests.isFailing() || clock.nowMs() - requestsReadAtMs <= UNREADY_AFTER_MS;
        return readable ? "" : "the requests of callers cannot be read from the store";
    }
}
