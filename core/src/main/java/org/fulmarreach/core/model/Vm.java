package org.fulmarreach.core.model;

/**
 * A machine of the pool. Immutable.
 *
 * @param id name of the VM, unique in the deployment
 * @param rack rack that holds the VM
 * @param zone availability zone of the rack
 * @param capacity resources that the VM holds
 */
public record Vm(String id, String rack, AvailabilityZone zone, Resources capacity) {}
