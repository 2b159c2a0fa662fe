package org.fulmarreach.core.model;

/**
 * An availability zone, the failure domain within a region. Immutable.
 *
 * @param name name of the zone, from the settings
 * @param region region that the zone belongs to
 */
public record AvailabilityZone(String name, Region region) {}
