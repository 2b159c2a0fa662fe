package org.fulmarreach.core.model;

/**
 * An availability zone, the unit of failure within a region. Immutable.
 *
 * @param name name from the settings
 * @param region region that the zone belongs to
 */
public record AvailabilityZone(String name, Region region) {}
