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
 * The guards of this region by id. A newer incarnation replaces an older one. A new connection of the same incarnation
 * replaces the previous one, whose late frames and close event have no effect. Owned by {@link DirectoryActor}.
 */
public final class GuardDirectory {
    /** Time in milliseconds after its last frame at which a disconnected guard is removed. */
    public static final long DISCONNECTED_RETENTION_MS = 60_000;

    /** Maximum number of guards; a region is expected to have 2,900 in two years. */
    public static final int MAX_GUARDS = 16_384;

    private final Map<String, GuardSession> byId = new HashMap<>();
    private final Map<FrameLink, GuardSession> byLink = new HashMap<>();

    /** Effect of a guard's hello on the directory. */
    public sealed interface Change {
        /**
         * The guard was not in the directory.
         *
         * @param session session of the guard
         */
        record Added(GuardSession session) implements Change {}

        /**
         * The same incarnation reconnected.
         *
         * @param session session of the guard
         */
        record Reconnected(GuardSession session) implements Change {}

        /**
         * A newer incarnation replaced an older one.
         *
         * @param session session of the newer incarnation
         * @param old session of the older incarnation
         */
        record Replaced(GuardSession session, GuardSession old) implements Change {}

        /** The hello is malformed, of an older incarnation or exceeds {@link #MAX_GUARDS}; its connection is closed. */
        record Refused() implements Change {}
    }

    /** Handles the hello of a guard; closes {@code link} if it refuses the hello. */
    public Change register(FrameLink link, Hello hello, long nowMs) {
        GuardSession existing = byId.get(hello.getGuardId());
        boolean tooMany = existing == null && byId.size() >= MAX_GUARDS;
        if (tooMany || !isValid(hello) || existing != null && existing.view().incarnation() > hello.getIncarnation()) {
            link.close();
            return new Change.Refused();
        }
        if (existing != null && existing.isConnected()) {
            FrameLink old = existing.link();
            byLink.remove(old);
            old.close();
        }
        if (existing != null && existing.view().incarnation() == hello.getIncarnation()) {
            existing.connect(toView(hello), hello, link, nowMs);
            byLink.put(link, existing);
            return new Change.Reconnected(existing);
        }
        GuardSession session = new GuardSession(toView(hello), hello, link, nowMs);
        byId.put(hello.getGuardId(), session);
        byLink.put(link, session);
        return existing == null ? new Change.Added(session) : new Change.Replaced(session, existing);
    }

    /** Finds the session whose current connection is {@code link}. */
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

    /**
     * Removes a connection and returns the session that it belonged to; empty if it is not the current connection of
     * any guard.
     */
    public Optional<GuardSession> disconnect(FrameLink link) {
        GuardSession session = byLink.remove(link);
        if (session != null) {
            session.disconnect();
        }
        return Optional.ofNullable(session);
    }

    /** Returns the connected guards from which no frame has arrived for more than {@code silenceMs}. */
    public List<GuardSession> findSilent(long silenceMs, long nowMs) {
        List<GuardSession> silent = new ArrayList<>();
        for (GuardSession session : byLink.values()) {
            if (nowMs - session.lastFrameMs() > silenceMs) {
                silent.add(session);
            }
        }
        return silent;
    }

    /**
     * Removes disconnected guards whose last frame is older than {@link #DISCONNECTED_RETENTION_MS} and returns their
     * sessions.
     */
    public List<GuardSession> removeExpired(long nowMs) {
        List<GuardSession> expired = new ArrayList<>();
        for (Iterator<GuardSession> each = byId.values().iterator(); each.hasNext(); ) {
            GuardSession session = each.next();
            if (!session.isConnected() && nowMs - session.lastFrameMs() > DISCONNECTED_RETENTION_MS) {
                expired.add(session);
                each.remove();
            }
        }
        return expired;
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
