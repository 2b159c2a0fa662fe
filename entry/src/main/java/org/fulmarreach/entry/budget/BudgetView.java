package org.fulmarreach.entry.budget;

/**
 * Amounts of the budget as known to this entry, in the budget's smallest unit. Immutable.
 *
 * @param period start of the current period in UTC milliseconds; 0 without a budget rule
 * @param amount amount of the budget rule
 * @param granted sum of the grants to all entries in the period, minus returns
 * @param purse remaining amount that this entry may spend
 * @param spent amount that this entry has spent in the period, minus refunds
 */
public record BudgetView(long period, long amount, long granted, long purse, long spent) {}
