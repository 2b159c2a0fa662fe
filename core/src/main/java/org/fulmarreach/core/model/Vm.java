package org.fulmarreach.core.model;

/**
 * A virtual machine of the pool. Immutable.
 *
 * @param id name of the VM, unique in the deployment
 * @param rack rack of the VM
 * @param zone availability zone of the rack
 * @param capacity total resources of the VM
 */
public record Vm(String id, String rack, AvailabilityZone zone, Resources capacity) {}
