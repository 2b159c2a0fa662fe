package org.fulmarreach.core.overload;

import java.util.List;
import java.util.Optional;

/**
 * Load of the pools of all services, as the leader measures it. Only services whose pool is short of room are listed,
 * so an empty list means that there is no shortage. Immutable.
 *
 * @param services services that are short of room, at most {@link #MAX_SERVICES}
 */
public record PoolLoad(List<ServiceLoad> services) {
    /** Limit on the listed services; further ones count as having room. */
    public static final int MAX_SERVICES = 8;

    /** Limit on the backlogs of one kind of work; the lowest priorities beyond it are left out. */
    public static final int MAX_BACKLOGS = 24;

    /** Load without a shortage. */
    public static final PoolLoad NO_SHORTAGE = new PoolLoad(List.of());

    /**
     * Time for which a measurement is valid, in milliseconds. The leader stores one every 500 ms and an entry reads it
     * within about as long, so two may be missed.
     */
    public static final long VALID_MS = 2_000;

    /** Copies the list. */
    public PoolLoad {
        services = List.copyOf(services);
    }

    /** Tells whether the pool of some service is short of room. */
    public boolean isShort() {
        return !services.isEmpty();
    }

    /** Finds the load of a service that is short of room. */
    public Optional<ServiceLoad> find(String service) {
        return services.stream().filter(load -> load.service().equals(service)).findFirst();
    }

    /**
     * Load of the workers of one service.
     *
     * @param service name of the service
     * @param workers number of workers that are counted
     * @param reserving load by work that reserves processors
     * @param bestEffort load by best-effort work
     */
    public record ServiceLoad(String service, int workers, KindLoad reserving, KindLoad bestEffort) {
        /** Returns the load by one kind of work. */
        public KindLoad of(WorkKind kind) {
            return kind == WorkKind.RESERVING ? reserving : bestEffort;
        }
    }

    /**
     * Load by one kind of work.
     *
     * @param roomMilliCores processors that work which ends may use, in thousandths of a core: those of all workers
     *     without what long-running tasks reserve
     * @param freeMilliCores part of the room that is free, in thousandths of a core
     * @param throughputMilliCores estimated work that was done over the last seconds per time, in thousandths of a
     *     core; more than the room if tasks take less time than estimated
     * @param backlogs waiting work, the highest priority first; empty if this kind of work is not short of room
     */
    public record KindLoad(
            long roomMilliCores, long freeMilliCores, long throughputMilliCores, List<Backlog> backlogs) {
        /** Copies the list. */
        public KindLoad {
            backlogs = List.copyOf(backlogs);
        }

        /** Returns the time that an amount of estimated work in core-ms takes, in milliseconds, at the higher rate. */
        public long durationMs(long coreMs) {
            return coreMs * 1_000 / Math.max(1, Math.max(roomMilliCores, throughputMilliCores));
        }

        /**
         * Returns the waiting work that goes before a new job, in core-ms. Useless work of higher priority is left out:
         * it need not be done first.
         *
         * @param priority priority of the new job
         * @param lowest lowest rank class of the same priority that goes before it
         */
        public long coreMsAhead(int priority, RankClass lowest) {
            long sum = 0;
            for (Backlog backlog : backlogs) {
                boolean ahead = backlog.priority() < priority
                        ? backlog.rankClass() != RankClass.USELESS
                        : backlog.priority() == priority && backlog.rankClass().compareTo(lowest) <= 0;
                sum += ahead ? backlog.coreMs() : 0;
            }
            return sum;
        }
    }

    /**
     * Waiting work of one rank class.
     *
     * @param priority priority of the queues
     * @param rankClass prospect of the jobs
     * @param coreMs estimated work that waits, in core-milliseconds
     */
    public record Backlog(int priority, RankClass rankClass, long coreMs) {}
}
