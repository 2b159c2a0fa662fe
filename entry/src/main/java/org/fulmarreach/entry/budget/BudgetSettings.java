package org.fulmarreach.entry.budget;

import java.time.Clock;

/**
 * Settings of the purse. Immutable.
 *
 * @param entryId id of this entry
 * @param retentionMs time for which the log service keeps records, in milliseconds
 * @param wallClock chooses the period of a reservation
 */
public record BudgetSettings(String entryId, long retentionMs, Clock wallClock) {}
