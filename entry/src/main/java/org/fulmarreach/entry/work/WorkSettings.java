package org.fulmarreach.entry.work;

import org.fulmarreach.core.work.WorkTimes;
import org.fulmarreach.runtime.cfg.Setting;
import org.fulmarreach.runtime.cfg.Settings;

/**
 * Settings of the shards at one entry. Immutable.
 *
 * @param entryId id of the entry
 * @param incarnation number of this lifetime of the entry process; higher after each restart
 * @param region region of the entry, which follows the shards of this region
 * @param zone availability zone of the entry
 * @param shards number of shards of the region
 * @param times durations of leases and takeovers
 */
public record WorkSettings(String entryId, long incarnation, String region, String zone, int shards, WorkTimes times) {
    /** Returns the shard settings from the settings of an entry. */
    public static WorkSettings of(Settings settings, long incarnation) {
        return new WorkSettings(
                settings.text(Setting.ID),
                incarnation,
                settings.text(Setting.REGION),
                settings.text(Setting.ZONE),
                settings.intNumber(Setting.SHARDS),
                WorkTimes.DEFAULT.withRetentionMs(settings.number(Setting.STORE_RETENTION_MS)));
    }
}
