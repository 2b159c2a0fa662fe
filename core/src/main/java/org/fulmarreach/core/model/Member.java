package org.fulmarreach.core.model;

/**
 * A club, firm or team of the federation, on whose behalf a rule was made. Immutable.
 *
 * @param name name at the start of the rule's comment
 */
public record Member(String name) {}
