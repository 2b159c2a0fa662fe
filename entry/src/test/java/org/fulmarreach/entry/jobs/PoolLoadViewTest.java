package org.fulmarreach.entry.jobs;

import java.util.List;
import java.util.Optional;

import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobStep;
import org.fulmarreach.core.jobs.QueuePolicy;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.overload.AdmissionDecision;
import org.fulmarreach.core.overload.PoolLoad;
import org.fulmarreach.core.overload.RankClass;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.io.PoolLoadRecords;
import org.fulmarreach.runtime.log.EventLog;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Guards against refusals by records of a load that were written long before they are read. */
class PoolLoadViewTest {
    private static final int WRITTEN_EACH_MS = 500;

    private long nowMs = 100_000;
    private long number;
    private final PoolLoadView view = new PoolLoadView(Optional::empty, () -> nowMs, new EventLog("entry-0"));

    @Test
    void recordsThatArriveAsTheyAreWrittenCount() {
        read();
        nowMs += WRITTEN_EACH_MS;
        read();
        assertInstanceOf(AdmissionDecision.Refuse.class, view.decide(job()));
    }

    /** An entry that was cut off from the store reads all records of that time at once, whatever their age is. */
    @Test
    void recordsThatAreReadTogetherDoNotCount() {
        read();
        nowMs += 60_000;
        read();
        read();
        nowMs += 30;
        read();
        assertInstanceOf(AdmissionDecision.Accept.class, view.decide(job()));
        nowMs += WRITTEN_EACH_MS;
        read();
        assertInstanceOf(AdmissionDecision.Refuse.class, view.decide(job()));
    }

    private void read() {
        number++;
        PoolLoad.KindLoad full = new PoolLoad.KindLoad(
                16_000, 0, 15_000, List.of(new PoolLoad.Backlog(0, RankClass.ON_TIME, 16 * 3_600_000)));
        PoolLoad.KindLoad none = new PoolLoad.KindLoad(16_000, 0, 0, List.of());
        PoolLoad load = new PoolLoad(List.of(new PoolLoad.ServiceLoad("s", 1, full, none)));
        view.onRecord(new KeyedRecord(
                JobTopics.POOL_LOAD_KEY, PoolLoadRecords.encode(new PoolLoadRecords.Stored(5, number, load))));
    }

    private static JobSpec job() {
        JobStep step = new JobStep(
                1,
                new Resources(100, 100, 0),
                100,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                false,
                "",
                0,
                false,
                0);
        return new JobSpec("job", "q", "", List.of(step), 0, 0, 0, 0, new QueuePolicy("s", 1, 2, 300, 1.5));
    }
}
