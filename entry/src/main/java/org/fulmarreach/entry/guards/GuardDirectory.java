package org.fulmarreach.entry.guards;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fulmarreach.core.model.AvailabilityZone;
import org.fulmarreach.core.model.Region;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.Vm;
import org.fulmarreach.protocol.thrift.Hello;
import org.fulmarreach.runtime.net.FrameLink;

/**
 * The guards of this region by id. A newer incarnation replaces an older one; a new connection of the same incarnation
 * replaces the one before, whose late frames and close have no effect. Owned by the directory's actor.
 */
public final class GuardDirectory {
    /** A guard that has been away for this long is forgotten, in milliseconds. */
    public static final long FORGET_AFTER_MS = 60_000;

    /** Most guards that are kept; a region has 2,900 at two years' size. */
    public static final int MAX_GUARDS = 16_384;

    private final Map<String, GuardSession> byId = new HashMap<>();
    private final Map<FrameLink, GuardSession> byLink = new HashMap<>();

    /** What a hello changed. */
    public sealed interface Change {
        /**
         * The guard was not known.
         *
         * @param session its session
         */
        record Added(GuardSession session) implements Change {}

        /**
         * The same incarnation is back on a new connection.
         *
         * @param session its session
         */
        record Reconnected(GuardSession session) implements Change {}

        /**
         * A newer incarnation replaced an older one.
         *
         * @param session its session
         * @param old session of the older incarnation
         */
        record Replaced(GuardSession session, GuardSession old) implements Change {}

        /** The hello is of an older incarnation, malformed or one too many; its connection is closed. */
        record Refused() implements Change {}
    }

    /** Takes in a hello. */
    public Change register(FrameLink link, Hello hello, long nowMs) {
        GuardSession known = byId.get(hello.getGuardId());
        boolean tooMany = known == null && byId.size() >= MAX_GUARDS;
        if (tooMany || !isValid(hello) || known != null && known.view().incarnation() > hello.getIncarnation()) {
            link.close();
            return new Change.Refused();
        }
        if (known != null && known.isConnected()) {
            FrameLink old = known.link();
            byLink.remove(old);
            old.close();
        }
        if (known != null && known.view().incarnation() == hello.getIncarnation()) {
            known.connect(toView(hello), hello, link, nowMs);
            byLink.put(link, known);
            return new Change.Reconnected(known);
        }
        GuardSession session = new GuardSession(toView(hello), hello, link, nowMs);
        byId.put(hello.getGuardId(), session);
        byLink.put(link, session);
        return known == null ? new Change.Added(session) : new Change.Replaced(session, known);
    }

    /** Finds the session whose present connection is {@code link}. */
    public Optional<GuardSession> findByLink(FrameLink link) {
        return Optional.ofNullable(byLink.get(link));
    }

    /** Finds the session of a guard. */
    public Optional<GuardSession> find(String guardId) {
        return Optional.ofNullable(byId.get(guardId));
    }

    /** Finds the session of the guard on a VM. */
    public Optional<GuardSession> findByVm(String vmId) {
        return byId.values().stream()
                .filter(session -> session.view().vm().id().equals(vmId))
                .findFirst();
    }

    /** Returns all sessions. */
    public Collection<GuardSession> all() {
        return byId.values();
    }

    /** Takes a connection out; empty if it is not the present one of any guard. */
    public Optional<GuardSession> disconnect(FrameLink link) {
        GuardSession session = byLink.remove(link);
        if (session != null) {
            session.disconnect();
        }
        return Optional.ofNullable(session);
    }

    /** Returns the connected guards that sent nothing for longer than {@code silenceMs}. */
    public List<GuardSession> findSilent(long silenceMs, long nowMs) {
        List<GuardSession> silent = new ArrayList<>();
        for (GuardSession session : byLink.values()) {
            if (nowMs - session.lastFrameMs() > silenceMs) {
                silent.add(session);
            }
        }
        return silent;
    }

    /** Forgets guards that have been away for {@link #FORGET_AFTER_MS} and returns their sessions. */
    public List<GuardSession> forgetGone(long nowMs) {
        List<GuardSession> gone = new ArrayList<>();
        for (Iterator<GuardSession> each = byId.values().iterator(); each.hasNext(); ) {
            GuardSession session = each.next();
            if (!session.isConnected() && nowMs - session.lastFrameMs() > FORGET_AFTER_MS) {
                gone.add(session);
                each.remove();
            }
        }
        return gone;
    }

    private static boolean isValid(Hello hello) {
        return hello.getGuardId() != null
                && hello.getGuardId().matches("[A-Za-z0-9_-]{1,63}")
                && hello.getVm() != null
                && hello.getZone() != null
                && hello.getRegion() != null;
    }

    private static GuardView toView(Hello hello) {
        var capacity = hello.getCapacity();
        Resources resources = capacity == null
                ? Resources.NONE
                : new Resources(capacity.getMilliCores(), capacity.getMemoryMb(), capacity.getAccelerators());
        Vm vm = new Vm(
                hello.getVm(),
                hello.getRack() == null ? "" : hello.getRack(),
                new AvailabilityZone(hello.getZone(), new Region(hello.getRegion())),
                resources);
        String service = hello.getServiceName() == null ? "" : hello.getServiceName();
        return new GuardView(hello.getGuardId(), hello.getIncarnation(), vm, service);
    }
}
