package org.fulmarreach.core.rules;

import org.fulmarreach.core.model.Member;

/** One line of the rules file. All kinds are immutable. */
public sealed interface Rule permits UrgentRule, BatchRule, StandingRule, QuotaRule, BudgetRule {
    /** Returns the member that requested the rule, from its comment. */
    Member member();

    /** Returns the line in canonical form: as written, with runs of white space replaced by one space. */
    String text();

    /** Returns the number of the line in the text that was parsed, from 1. */
    int line();

    /** Returns the key that is unique among the rules in force, for example {@code work farbplan}. */
    String uniqueKey();
}
