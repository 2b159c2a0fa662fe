package org.fulmarreach.core.model;

/**
 * A region: a group of availability zones with a fast network between them. Immutable.
 *
 * @param name name of the region, from the settings
 */
public record Region(String name) {}
