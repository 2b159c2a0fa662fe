package org.fulmarreach.it;

import java.util.ArrayList;
import java.util.List;

/**
 * What a deployment consists of. Immutable.
 *
 * @param service name of the service on each VM
 * @param storeRegion region with the log service
 * @param zones availability zones with their VMs and entries
 * @param cores processors of each VM
 * @param memoryMb memory of each VM in MiB
 * @param serviceMs median service time of a target
 * @param proxied whether guards and peers reach the entries through a fault-injecting proxy
 * @param storeArgs further arguments of the log service
 * @param vmArgs further arguments of the workers and targets
 * @param entryArgs further arguments of the entries
 * @param guardArgs further arguments of the guards
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
     * @param name its name
     * @param region its region
     * @param vms number of VMs, three to a rack
     * @param entries number of entries
     */
    public record Zone(String name, String region, int vms, int entries) {}

    /** Kreidekiste's deployment at today's size: 11 workers in three availability zones of two regions. */
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

    /** The association's deployment at today's size. */
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

    /** Two availability zones in one region, for tests: each with the given VMs and one entry. */
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

    /** Returns a copy with other processors per VM. */
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

    /** Returns a copy whose guards and peers reach the entries through a proxy. */
    public DeploymentPlan withProxy() {
        return new DeploymentPlan(
                service, storeRegion, zones, cores, memoryMb, serviceMs, true, storeArgs, vmArgs, entryArgs, guardArgs);
    }

    /** Returns a copy with further arguments of the log service. */
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

    /** Returns a copy with further arguments of the VM stand-ins. */
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

    /** Returns a copy with further arguments of the entries. */
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

    /** Returns a copy with further arguments of the guards. */
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

    /** Returns the VMs' names by zone, in order. */
    List<String> nameVms(Zone zone) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < zone.vms(); i++) {
            names.add("vm-" + zone.name() + "-" + i);
        }
        return names;
    }
}
