package org.fulmarreach.entry.budget;

/**
 * Figures of the budget as seen at this entry, in its smallest unit. Immutable.
 *
 * @param period start of the present period in UTC milliseconds; 0 without a budget rule
 * @param amount amount of the budget rule
 * @param granted sum of the grants to all entries in the period
 * @param purse what this entry may still spend
 * @param spent what this entry has spent in the period
 */
public record BudgetView(long period, long amount, long granted, long purse, long spent) {}
