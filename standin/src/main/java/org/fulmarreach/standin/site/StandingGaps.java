package org.fulmarreach.standin.site;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongPredicate;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Finds standing tasks that were without a run for longer than the platform's rule LOST allows: a task that lasts must
 * be at work again {@value #RESTART_MS} ms after its last run, over a window of {@value #WINDOW_MS} ms, if the window
 * and the {@value #CALM_MS} ms before it are calm and there is capacity for the task twice over during the window. All
 * times are Unix milliseconds. Immutable.
 *
 * <p>Planned work counts as calm. The rule names no exception and does not define calm; elsewhere the platform's page
 * sets planned work against unplanned disruption. The stricter reading is checked, and a gap names the planned work
 * beside it.
 */
public final class StandingGaps {
    private static final long RESTART_MS = 6_000;
    private static final long WINDOW_MS = 3_000;
    private static final long CALM_MS = 4_000;

    private final List<Disruption> disruptions;
    private final List<Service> services;
    private final List<Run> runs;

    /**
     * Time from a moment up to another one, which does not belong to it; {@link Long#MAX_VALUE} if it goes on.
     *
     * @param fromMs first moment
     * @param toMs first moment after it
     */
    public record Span(long fromMs, long toMs) {}

    /**
     * A fault, or planned work.
     *
     * @param name what is printed
     * @param planned whether it counts as calm
     * @param span from its start until what it harmed is ready again
     */
    public record Disruption(String name, boolean planned, Span span) {}

    /**
     * Time in which a worker takes tasks: it is up, known and not draining.
     *
     * @param worker lifetime of a worker, as runs name it
     * @param capacityMilliCores its capacity
     * @param span the time
     */
    public record Service(String worker, int capacityMilliCores, Span span) {}

    /**
     * Use of a worker's capacity.
     *
     * @param worker lifetime of the worker
     * @param milliCores capacity that the run takes
     * @param span from its start to its end
     */
    public record Run(String worker, int milliCores, Span span) {}

    /**
     * A standing task.
     *
     * @param name its name
     * @param milliCores capacity that a run of it takes
     * @param owed time in which it has to be at work: from its acceptance until it is cancelled
     * @param runs its runs
     */
    public record Task(String name, int milliCores, Span owed, List<Span> runs) {}

    /**
     * A time without a run that is longer than allowed.
     *
     * @param task name of the task
     * @param span from the end of its last run, or its acceptance, to its next run or its cancelling
     * @param windowMs start of the first window in which it should have been at work
     * @param plannedWork names of the planned work between the end of the run and the end of the window
     */
    public record Gap(String task, Span span, long windowMs, List<String> plannedWork) {
        /** Returns the gap as a line, with times counted from a moment. */
        public String describe(long beganAtMs) {
            return "GAP " + task + " was without a run for " + (span.toMs() - span.fromMs()) + " ms, from "
                    + (span.fromMs() - beganAtMs) + " to " + (span.toMs() - beganAtMs) + " ms; window from "
                    + (windowMs - beganAtMs) + " to " + (windowMs + WINDOW_MS - beganAtMs) + " ms; planned work "
                    + plannedWork;
        }
    }

    /**
     * Constructs the calculation.
     *
     * @param disruptions faults and planned work anywhere
     * @param services times in which workers take tasks
     * @param runs runs of all tasks, for the capacity that is left
     */
    public StandingGaps(List<Disruption> disruptions, List<Service> services, List<Run> runs) {
        this.disruptions = List.copyOf(disruptions);
        this.services = List.copyOf(services);
        this.runs = List.copyOf(runs);
    }

    /** Returns the gaps of a task that are longer than allowed, in the order of time. */
    public List<Gap> find(Task task) {
        return find(task, atMs -> true);
    }

    /**
     * Returns the gaps of a job that ends by itself, given by the runs of all its tasks. The rule holds for it only
     * while less than half of the capacity is in use; the time after a run in which no window begins covers the lease
     * of a worker that is lost with the only run.
     */
    public List<Gap> findOfJob(Task job) {
        return find(job, this::isMostlyFreeAt);
    }

    private List<Gap> find(Task task, LongPredicate mayRunAt) {
        List<Gap> found = new ArrayList<>();
        long idleFromMs = task.owed().fromMs();
        for (Span run : task.runs().stream()
                .sorted(Comparator.comparingLong(Span::fromMs))
                .toList()) {
            findGap(
                            task,
                            new Span(
                                    idleFromMs,
                                    Math.min(run.fromMs(), task.owed().toMs())),
                            mayRunAt)
                    .ifPresent(found::add);
            idleFromMs = Math.max(idleFromMs, run.toMs());
        }
        findGap(task, new Span(idleFromMs, task.owed().toMs()), mayRunAt).ifPresent(found::add);
        return found;
    }

    private Optional<Gap> findGap(Task task, Span idle, LongPredicate mayRunAt) {
        if (idle.toMs() <= idle.fromMs()) {
            return Optional.empty();
        }
        long earliestMs = idle.fromMs() + RESTART_MS;
        // A window that satisfies all conditions can be moved to an earlier one that begins at one of these moments.
        LongStream starts = Stream.of(
                        Stream.of(earliestMs),
                        disruptions.stream().map(disruption -> disruption.span().toMs() + CALM_MS),
                        services.stream().map(service -> service.span().fromMs()),
                        runs.stream().map(run -> run.span().toMs()))
                .flatMap(moments -> moments)
                .mapToLong(Long::longValue);
        return starts.filter(startMs -> startMs >= earliestMs && startMs < idle.toMs() - WINDOW_MS)
                .sorted()
                .filter(startMs -> isCalm(startMs)
                        && holdsInWindow(
                                atMs -> hasRoomTwiceAt(task.milliCores(), atMs) && mayRunAt.test(atMs), startMs))
                .boxed()
                .findFirst()
                .map(startMs -> new Gap(task.name(), idle, startMs, findPlannedWork(idle.fromMs(), startMs)));
    }

    private boolean isCalm(long startMs) {
        return disruptions.stream()
                .noneMatch(disruption ->
                        !disruption.planned() && overlaps(disruption.span(), startMs - CALM_MS, startMs + WINDOW_MS));
    }

    private List<String> findPlannedWork(long fromMs, long startMs) {
        return disruptions.stream()
                .filter(disruption ->
                        disruption.planned() && overlaps(disruption.span(), fromMs - CALM_MS, startMs + WINDOW_MS))
                .map(Disruption::name)
                .toList();
    }

    private static boolean overlaps(Span span, long fromMs, long toMs) {
        return span.fromMs() <= toMs && span.toMs() > fromMs;
    }

    /** Tells whether a condition on the room holds; room shrinks only when a run starts or a worker takes no tasks. */
    private boolean holdsInWindow(LongPredicate room, long startMs) {
        LongStream changes = LongStream.concat(
                services.stream().mapToLong(service -> service.span().toMs()),
                runs.stream().mapToLong(run -> run.span().fromMs()));
        return LongStream.concat(LongStream.of(startMs), changes)
                .filter(atMs -> atMs >= startMs && atMs <= startMs + WINDOW_MS)
                .distinct()
                .allMatch(room);
    }

    private boolean hasRoomTwiceAt(int milliCores, long atMs) {
        return services.stream()
                        .filter(service -> includes(service.span(), atMs))
                        .mapToLong(
                                service -> Math.max(0, service.capacityMilliCores() - used(service, atMs)) / milliCores)
                        .sum()
                >= 2;
    }

    private boolean isMostlyFreeAt(long atMs) {
        long used = 0;
        long capacity = 0;
        for (Service service : services) {
            if (includes(service.span(), atMs)) {
                used += used(service, atMs);
                capacity += service.capacityMilliCores();
            }
        }
        return 2 * used < capacity;
    }

    private long used(Service service, long atMs) {
        return runs.stream()
                .filter(run -> run.worker().equals(service.worker()) && includes(run.span(), atMs))
                .mapToLong(Run::milliCores)
                .sum();
    }

    private static boolean includes(Span span, long atMs) {
        return span.fromMs() <= atMs && atMs < span.toMs();
    }
}
