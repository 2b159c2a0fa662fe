package org.fulmarreach.core.model;

/**
 * A tenant: a club, company or team of the federation, on whose behalf a rule was published. Immutable.
 *
 * @param name name of the member, from the start of the rule's comment
 */
public record Member(String name) {}
