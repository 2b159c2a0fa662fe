package org.fulmarreach.entry.budget;

import java.time.Clock;

/**
 * Settings of the purse. Immutable.
 *
 * @param entryId id of this entry
 * @param retentionMs time for which the log service keeps records, in milliseconds
 * @param wallClock clock that determines the current budget period
 */
public record BudgetSettings(String entryId, long retentionMs, Clock wallClock) {}
