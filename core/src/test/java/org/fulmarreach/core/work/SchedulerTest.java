package org.fulmarreach.core.work;

import java.util.List;
import java.util.Map;
import java.util.Random;

import org.fulmarreach.core.model.AvailabilityZone;
import org.fulmarreach.core.model.Region;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.Vm;
import org.fulmarreach.core.rules.ParseResult;
import org.fulmarreach.core.rules.RulesParser;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against large runs that miss their deadlines because smaller runs use all resources as they become free. */
class SchedulerTest {
    private static final long NOW_MS = 10_000;
    private static final long DAY_START_MS = 20_833L * 86_400_000;

    private static List<String> place(long wallMs) {
        Scheduler scheduler = new Scheduler(new ShardId("sued", 0, 1, "entry-1", 1), new Random(1));
        String text = """
                batch large region=sued every=1h at=0s within=5m runtime=20s cores=4 memory=1G # m: x
                batch small region=sued every=1h at=0s within=6m runtime=20s cores=1 memory=1G # m: x
                """;
        scheduler.changeRules(
                ((ParseResult.Parsed) RulesParser.parse(text.lines().toList())).rules());
        Vm vm = new Vm("vm-1", "rack-1", new AvailabilityZone("sued-a", new Region("sued")), size(4_000));
        TrackedGuard guard = new TrackedGuard();
        guard.update(new GuardReport(vm, "bestellung", 1, 500, true, false, size(2_000), List.of()), NOW_MS);
        ShardState state = new ShardState(InvariantCheck.THROWING);
        return scheduler.plan(state, Map.of("vm-1", guard), List.of(), NOW_MS, wallMs).assigns().stream()
                .map(assign -> assign.task().work())
                .toList();
    }

    private static Resources size(int milliCores) {
        return new Resources(milliCores, 64_000, 0);
    }

    @Test
    void resourcesAreReservedForUrgentLargeRun() {
        long slackMs = 30_000;
        assertEquals(List.of(), place(DAY_START_MS + 300_000 - 20_000 - slackMs));
    }

    @Test
    void smallRunIsPlacedWhileLargeRunHasSlackOrIsTooLate() {
        assertEquals(List.of("small"), place(DAY_START_MS + 10_000));
        assertEquals(List.of("small"), place(DAY_START_MS + 300_000 - 20_000 + 5_000));
    }
}
