package org.fulmarreach.protocol.io;

import java.util.ArrayList;
import java.util.List;

import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.core.exc.InvariantViolationException;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.overload.PoolLoad;
import org.fulmarreach.core.overload.RankClass;

import static org.fulmarreach.protocol.io.RecordFields.requireRange;

/**
 * Encodes and decodes the record in which a leader stores the load of the pools: the version of the format, then the
 * values in order in the compact protocol. A reader ignores a record of a newer version. Stateless and thread-safe;
 * malformed bytes throw {@link FrameException}.
 */
public final class PoolLoadRecords {
    private static final byte VERSION = 1;
    private static final int INITIAL_BUFFER_BYTES = 256;
    private static final int MAX_BYTES = 16_384;
    private static final int MAX_NAME_BYTES = 1_024;
    private static final int MAX_WORKERS = 1_000_000;

    /** Room of as many of the largest workers as there may be. */
    private static final long MAX_ROOM = (long) MAX_WORKERS * Resources.MAX_MILLI_CORES;

    /** Keeps sums of backlogs, and a thousand times that, within a long. */
    private static final long MAX_CORE_MS = 1L << 48;

    private PoolLoadRecords() {}

    /**
     * A load as stored.
     *
     * @param term term of the leader that measured it
     * @param number number of the record within the term, which increases
     * @param load load of the pools
     */
    public record Stored(long term, long number, PoolLoad load) {}

    /** Encodes a load. */
    public static byte[] encode(Stored stored) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BUFFER_BYTES);
            TProtocol out = new TCompactProtocol(buffer);
            out.writeByte(VERSION);
            out.writeI64(stored.term());
            out.writeI64(stored.number());
            out.writeI32(stored.load().services().size());
            for (PoolLoad.ServiceLoad service : stored.load().services()) {
                out.writeString(service.service());
                out.writeI32(service.workers());
                writeKind(out, service.reserving());
                writeKind(out, service.bestEffort());
            }
            byte[] bytes = new byte[buffer.length()];
            System.arraycopy(buffer.getArray(), 0, bytes, 0, bytes.length);
            return bytes;
        } catch (TException e) {
            throw new InvariantViolationException("cannot encode the load of the pools", e);
        }
    }

    /**
     * Decodes a load.
     *
     * @throws FrameException if the record is malformed
     */
    public static Stored decode(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            throw new FrameException("load of the pools of " + bytes.length + " bytes, the limit is " + MAX_BYTES);
        }
        try {
            TMemoryInputTransport input = new TMemoryInputTransport(
                    new TConfiguration(MAX_BYTES, MAX_BYTES, TConfiguration.DEFAULT_RECURSION_DEPTH), bytes);
            TProtocol in = new TCompactProtocol(input, MAX_NAME_BYTES, MAX_BYTES);
            requireRange(in.readByte(), VERSION, VERSION, "version");
            long term = requireRange(in.readI64(), 1, JobRecords.MAX_TERM, "term");
            long number = requireRange(in.readI64(), 0, Long.MAX_VALUE, "number");
            int count = requireRange(in.readI32(), 0, PoolLoad.MAX_SERVICES, "services");
            List<PoolLoad.ServiceLoad> services = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                services.add(new PoolLoad.ServiceLoad(
                        in.readString(),
                        requireRange(in.readI32(), 0, MAX_WORKERS, "workers"),
                        readKind(in),
                        readKind(in)));
            }
            return new Stored(term, number, new PoolLoad(services));
        } catch (TException e) {
            throw new FrameException("malformed load of the pools of " + bytes.length + " bytes", e);
        }
    }

    /*
     * Helpers
     */

    private static void writeKind(TProtocol out, PoolLoad.KindLoad load) throws TException {
        out.writeI64(Math.min(load.roomMilliCores(), MAX_ROOM));
        out.writeI64(Math.min(load.freeMilliCores(), MAX_ROOM));
        out.writeI64(Math.min(load.throughputMilliCores(), MAX_ROOM));
        out.writeI32(load.backlogs().size());
        for (PoolLoad.Backlog backlog : load.backlogs()) {
            out.writeI32(backlog.priority());
            out.writeByte((byte) backlog.rankClass().ordinal());
            out.writeI64(Math.min(backlog.coreMs(), MAX_CORE_MS));
        }
    }

    private static PoolLoad.KindLoad readKind(TProtocol in) throws TException {
        long room = requireRange(in.readI64(), 0, MAX_ROOM, "room");
        long free = requireRange(in.readI64(), 0, MAX_ROOM, "free");
        long throughput = requireRange(in.readI64(), 0, MAX_ROOM, "throughput");
        int count = requireRange(in.readI32(), 0, PoolLoad.MAX_BACKLOGS, "backlogs");
        List<PoolLoad.Backlog> backlogs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int priority = in.readI32();
            int rankClass = requireRange(in.readByte(), 0, RankClass.values().length - 1, "rank class");
            long coreMs = requireRange(in.readI64(), 0, MAX_CORE_MS, "backlog");
            backlogs.add(new PoolLoad.Backlog(priority, RankClass.values()[rankClass], coreMs));
        }
        return new PoolLoad.KindLoad(room, free, throughput, backlogs);
    }
}
