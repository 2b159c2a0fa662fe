package org.fulmarreach.core.model;

/**
 * A region: availability zones with a fast network between them. Immutable.
 *
 * @param name name from the settings
 */
public record Region(String name) {}
