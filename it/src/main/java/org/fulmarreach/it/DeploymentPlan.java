package org.fulmarreach.it;

import java.util.ArrayList;
import java.util.List;

/**
 * Components and settings of a deployment. Immutable.
 *
 * @param service name of the service that runs on each VM
 * @param storeRegion region of the log service
 * @param zones availability zones with their VMs and entries
 * @param cores processor cores of each VM
 * @param memoryMb memory of each VM in MiB
 * @param serviceMs median service time of a target in milliseconds
 * @param proxied whether guards and other entries connect to each entry through a fault-injecting proxy
 * @param storeArgs additional command-line arguments of the log service
 * @param vmArgs additional command-line arguments of the worker and target stand-ins
 * @param entryArgs additional command-line arguments of the entries
 * @param guardArgs additional command-line arguments of the guards
 */
public record DeploymentPlan(
        String service,
        String storeRegion,
        List<Zone> zones,
        int cores,
        long memoryMb,
        int serviceMs,
        boolean proxied,
        List<String> storeArgs,
        List<String> vmArgs,
        List<String> entryArgs,
        List<String> guardArgs) {
    /**
     * An availability zone.
     *
     * @param name name of the zone
     * @param region region of the zone
     * @param vms number of VMs; three share a rack
     * @param entries number of entries
     */
    public record Zone(String name, String region, int vms, int entries) {}

    /** The deployment of Kreidekiste at its current size: 11 workers in three availability zones of two regions. */
    public static DeploymentPlan kreidekiste() {
        return new DeploymentPlan(
                "bestellung",
                "sued",
                List.of(
                        new Zone("sued-a", "sued", 4, 1),
                        new Zone("sued-b", "sued", 4, 1),
                        new Zone("nord-a", "nord", 3, 1)),
                64,
                250_000,
                20,
                false,
                List.of(),
                List.of(),
                List.of(),
                List.of());
    }

    /** The deployment of the association at its current size: 11 workers in three availability zones of two regions. */
    public static DeploymentPlan association() {
        return new DeploymentPlan(
                "rhandir-rota",
                "de-cymru",
                List.of(
                        new Zone("cymoedd", "de-cymru", 4, 1),
                        new Zone("arfordir", "de-cymru", 4, 1),
                        new Zone("eryri", "gogledd", 3, 1)),
                16,
                60_000,
                20,
                false,
                List.of(),
                List.of(),
                List.of(),
                List.of());
    }

    /**
     * A small deployment for tests: two availability zones in one region, each with the given number of VMs and one
     * entry.
     */
    public static DeploymentPlan small(int vmsPerZone) {
        return kreidekiste()
                .withZones(
                        List.of(new Zone("sued-a", "sued", vmsPerZone, 1), new Zone("sued-b", "sued", vmsPerZone, 1)))
                .withCores(16);
    }

    /** Returns a copy with other zones. */
    public DeploymentPlan withZones(List<Zone> newZones) {
        return new DeploymentPlan(
                service,
                storeRegion,
                List.copyOf(newZones),
                cores,
                memoryMb,
                serviceMs,
                proxied,
                storeArgs,
                vmArgs,
                entryArgs,
                guardArgs);
    }

    /** Returns a copy with another number of processor cores per VM. */
    public DeploymentPlan withCores(int newCores) {
        return new DeploymentPlan(
                service,
                storeRegion,
                zones,
                newCores,
                memoryMb,
                serviceMs,
                proxied,
                storeArgs,
                vmArgs,
                entryArgs,
                guardArgs);
    }

    /** Returns a copy with another service time. */
    public DeploymentPlan withServiceMs(int newServiceMs) {
        return new DeploymentPlan(
                service,
                storeRegion,
                zones,
                cores,
                memoryMb,
                newServiceMs,
                proxied,
                storeArgs,
                vmArgs,
                entryArgs,
                guardArgs);
    }

    /** Returns a copy in which guards and other entries connect to each entry through a proxy. */
    public DeploymentPlan withProxy() {
        return new DeploymentPlan(
                service, storeRegion, zones, cores, memoryMb, serviceMs, true, storeArgs, vmArgs, entryArgs, guardArgs);
    }

    /** Returns a copy with other additional arguments of the log service. */
    public DeploymentPlan withStoreArgs(String... args) {
        return new DeploymentPlan(
                service,
                storeRegion,
                zones,
                cores,
                memoryMb,
                serviceMs,
                proxied,
                List.of(args),
                vmArgs,
                entryArgs,
                guardArgs);
    }

    /** Returns a copy with other additional arguments of the worker and target stand-ins. */
    public DeploymentPlan withVmArgs(String... args) {
        return new DeploymentPlan(
                service,
                storeRegion,
                zones,
                cores,
                memoryMb,
                serviceMs,
                proxied,
                storeArgs,
                List.of(args),
                entryArgs,
                guardArgs);
    }

    /** Returns a copy with other additional arguments of the entries. */
    public DeploymentPlan withEntryArgs(String... args) {
        return new DeploymentPlan(
                service,
                storeRegion,
                zones,
                cores,
                memoryMb,
                serviceMs,
                proxied,
                storeArgs,
                vmArgs,
                List.of(args),
                guardArgs);
    }

    /** Returns a copy with other additional arguments of the guards. */
    public DeploymentPlan withGuardArgs(String... args) {
        return new DeploymentPlan(
                service,
                storeRegion,
                zones,
                cores,
                memoryMb,
                serviceMs,
                proxied,
                storeArgs,
                vmArgs,
                entryArgs,
                List.of(args));
    }

    /** Returns the names of the VMs of a zone, in order. */
    List<String> nameVms(Zone zone) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < zone.vms(); i++) {
            names.add("vm-" + zone.name() + "-" + i);
        }
        return names;
    }
}
