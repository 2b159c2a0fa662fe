package org.fulmarreach.entry.guards;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.fulmarreach.core.model.Vm;
import org.fulmarreach.entry.calls.CallRouter;
import org.fulmarreach.protocol.thrift.GuardState;
import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.Resources;
import org.fulmarreach.protocol.thrift.ServiceSummary;

/** Builds the views of the directory for operators and the summary for peers. Stateless. */
final class DirectoryViews {
    private DirectoryViews() {}

    static List<TargetView> listTargets(GuardDirectory directory, CallRouter router) {
        return directory.all().stream()
                .map(session -> toView(session, router))
                .sorted(Comparator.comparing(TargetView::vm))
                .toList();
    }

    static GuardSummary summarize(GuardDirectory directory) {
        Map<String, ServiceSummary> services = new TreeMap<>();
        int guards = 0;
        long lowestRevision = Long.MAX_VALUE;
        for (GuardSession session : directory.all()) {
            if (!session.isConnected() || session.heartbeat() == null) {
                continue;
            }
            guards++;
            lowestRevision = Math.min(lowestRevision, session.heartbeat().getRulesRevision());
            if (session.isReady() && !session.view().service().isEmpty()) {
                ServiceSummary total =
                        services.computeIfAbsent(session.view().service(), name -> new ServiceSummary(name, 0, 0, 0));
                total.setTargets(total.getTargets() + 1);
                total.setSlots(total.getSlots() + session.slots());
                total.setSlotsInUse(total.getSlotsInUse() + Math.min(session.load(), session.slots()));
            }
        }
        return new GuardSummary(new ArrayList<>(services.values()), guards, lowestRevision);
    }

    private static TargetView toView(GuardSession session, CallRouter router) {
        Vm vm = session.view().vm();
        Heartbeat last = session.heartbeat() == null ? new Heartbeat() : session.heartbeat();
        Resources freeResources = last.getFree() == null ? new Resources() : last.getFree();
        return new TargetView(
                vm.id(),
                vm.zone().name(),
                vm.zone().region().name(),
                vm.rack(),
                session.view().service(),
                toState(session, router),
                session.slots(),
                last.getSlotsInUse(),
                session.outstanding(),
                session.connections(),
                last.getConnectionsInUse(),
                freeResources.getMilliCores(),
                freeResources.getMemoryMb(),
                last.getLatencyP99Ms(),
                session.view().incarnation(),
                last.getRulesRevision());
    }

    private static String toState(GuardSession session, CallRouter router) {
        if (!session.isConnected() || session.heartbeat() == null) {
            return "SILENT";
        }
        if (session.heartbeat().getState() == GuardState.LEAVING) {
            return "LEAVING";
        }
        return router.isEjected(session) ? "EJECTED" : "READY";
    }
}
