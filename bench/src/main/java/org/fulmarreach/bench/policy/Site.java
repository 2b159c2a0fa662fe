package org.fulmarreach.bench.policy;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.model.AvailabilityZone;
import org.fulmarreach.core.model.Region;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.Vm;

/**
 * A deployment from section 1.1 of docs/design.md: 11 workers in racks of three, three zones in two regions, and the
 * store in the home region.
 */
record Site(
        String name,
        String service,
        String homeRegion,
        String farRegion,
        String firstZone,
        String secondZone,
        String farZone,
        Resources vmCapacity) {
    static final int SLOTS = 8;
    static final int CONNECTIONS = 64;
    static final int VMS = 11;
    static final Site KREIDEKISTE = new Site(
            "kreidekiste",
            "bestellung",
            "sued",
            "nord",
            "sued-a",
            "sued-b",
            "nord-a",
            new Resources(64_000, 250 * 1_024, 0));
    static final Site ASSOCIATION = new Site(
            "association",
            "rhandir-rota",
            "de-cymru",
            "gogledd",
            "cymoedd",
            "arfordir",
            "eryri",
            new Resources(16_000, 60 * 1_024, 0));

    /** Returns the VMs: racks 0 and 3 in the first zone, rack 1 in the second, rack 2 in the far region. */
    List<Vm> constructVms() {
        List<Vm> vms = new ArrayList<>();
        for (int i = 0; i < VMS; i++) {
            int rack = i / 3;
            vms.add(new Vm("vm-" + i, "rack-" + rack, zoneOfRack(rack), vmCapacity));
        }
        return vms;
    }

    private AvailabilityZone zoneOfRack(int rack) {
        return switch (rack) {
            case 1 -> new AvailabilityZone(secondZone, new Region(homeRegion));
            case 2 -> new AvailabilityZone(farZone, new Region(farRegion));
            default -> new AvailabilityZone(firstZone, new Region(homeRegion));
        };
    }

    /** Returns the zone of each entry: two entries in the first zone, one in the second, two in the far one. */
    List<AvailabilityZone> constructEntryZones() {
        AvailabilityZone first = zoneOfRack(0);
        AvailabilityZone far = zoneOfRack(2);
        return List.of(first, zoneOfRack(1), first, far, far);
    }
}
