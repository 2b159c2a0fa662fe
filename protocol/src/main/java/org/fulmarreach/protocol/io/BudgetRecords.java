package org.fulmarreach.protocol.io;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.budget.BudgetRecord;
import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.protocol.thrift.BudgetReserve;
import org.fulmarreach.protocol.thrift.BudgetReturn;
import org.fulmarreach.protocol.thrift.BudgetSnapshot;
import org.fulmarreach.protocol.thrift.PeriodTotal;

/** Converts the records of the stream "budget" to and from bytes in the Thrift compact protocol. Stateless. */
public final class BudgetRecords {
    private BudgetRecords() {}

    /** Serializes a record. */
    public static byte[] toBytes(BudgetRecord record) {
        return CompactBytes.write(
                switch (record) {
                    case BudgetRecord.Reserve reserve ->
                        org.fulmarreach.protocol.thrift.BudgetRecord.reserve(new BudgetReserve(
                                reserve.id(),
                                reserve.owner(),
                                reserve.periodStartMs(),
                                reserve.amount(),
                                reserve.limit(),
                                reserve.rulesRevision()));
                    case BudgetRecord.Return returned ->
                        org.fulmarreach.protocol.thrift.BudgetRecord.giveBack(new BudgetReturn(
                                returned.id(), returned.owner(), returned.periodStartMs(), returned.amount()));
                    case BudgetRecord.Snapshot snapshot ->
                        org.fulmarreach.protocol.thrift.BudgetRecord.snapshot(toThrift(snapshot));
                });
    }

    /**
     * Deserializes a record.
     *
     * @throws FrameException if the bytes are malformed or a field is missing
     */
    public static BudgetRecord fromBytes(byte[] bytes) {
        var union = new org.fulmarreach.protocol.thrift.BudgetRecord();
        CompactBytes.read(union, bytes);
        try {
            if (union.isSetReserve()) {
                return fromThrift(union.getReserve());
            }
            if (union.isSetGiveBack()) {
                return fromThrift(union.getGiveBack());
            }
            if (union.isSetSnapshot()) {
                return fromThrift(union.getSnapshot());
            }
        } catch (NullPointerException e) {
            throw new FrameException("record of the stream budget has a null element in a list", e);
        }
        throw new FrameException("record of the stream budget is of an unknown kind");
    }

    private static BudgetSnapshot toThrift(BudgetRecord.Snapshot snapshot) {
        List<PeriodTotal> totals = new ArrayList<>();
        snapshot.totals()
                .forEach(total -> totals.add(new PeriodTotal(total.periodStartMs(), total.granted(), total.ids())));
        return new BudgetSnapshot(
                totals, snapshot.closedUpToMs(), snapshot.basedOnOffset(), snapshot.limit(), snapshot.limitRevision());
    }

    private static BudgetRecord fromThrift(BudgetReserve reserve) {
        return new BudgetRecord.Reserve(
                CompactBytes.require(reserve.getId(), "id"),
                CompactBytes.require(reserve.getOwner(), "owner"),
                reserve.getPeriod(),
                reserve.getAmount(),
                reserve.getLimit(),
                reserve.getRulesRevision());
    }

    private static BudgetRecord fromThrift(BudgetReturn returned) {
        return new BudgetRecord.Return(
                CompactBytes.require(returned.getId(), "id"),
                CompactBytes.require(returned.getOwner(), "owner"),
                returned.getPeriod(),
                returned.getAmount());
    }

    private static BudgetRecord fromThrift(BudgetSnapshot snapshot) {
        List<BudgetRecord.PeriodTotal> totals = new ArrayList<>();
        for (PeriodTotal total : CompactBytes.require(snapshot.getTotals(), "totals")) {
            totals.add(new BudgetRecord.PeriodTotal(
                    total.getPeriod(), total.getGranted(), CompactBytes.require(total.getIds(), "ids")));
        }
        return new BudgetRecord.Snapshot(
                totals,
                snapshot.getClosedUpTo(),
                snapshot.getBasedOnOffset(),
                snapshot.getLimit(),
                snapshot.getLimitRevision());
    }
}
