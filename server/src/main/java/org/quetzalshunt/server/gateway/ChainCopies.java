package org.quetzalshunt.server.gateway;

import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.core.store.AppendLimits;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.RecordNames;
import org.quetzalshunt.core.turn.TurnRecord;
import org.quetzalshunt.wire.record.StoredRecords;

/**
 * Encodes and decodes the records in which the ancestors of a turn are stored again. They are in the same shard as the
 * turn, and their keys follow its key.
 */
final class ChainCopies {
    /** Cannot be part of a turn id, which is a header value in ISO 8859-1. */
    private static final char SEPARATOR = '\u2192';

    /** Reserved in a record for the key, and for each turn, for the fields other than input and output. */
    private static final int OVERHEAD_BYTES = 512;

    private static final int TURN_OVERHEAD_BYTES = 48;

    /** Reserved in an append for removals of expired records. */
    private static final int REMOVALS_BYTES = 64 * 1024;

    private ChainCopies() {}

    /** Key of a record of copies of the ancestors of a turn. */
    static String key(String turn, int number) {
        return RecordNames.of(turn) + SEPARATOR + number;
    }

    private static boolean isCopyOf(String turn, String key) {
        return key.startsWith(RecordNames.of(turn) + SEPARATOR);
    }

    /**
     * Divides the records of a turn and of copies of its ancestors into appends. The record of the turn is the last one
     * of the last append.
     *
     * @param ancestors ancestors to store again beside the turn, oldest first; empty if none
     */
    static List<List<MapEntry>> appends(TurnRecord turn, List<TurnRecord> ancestors, AppendLimits limits) {
        List<MapEntry> records = new ArrayList<>();
        int position = 0;
        for (List<TurnRecord> group : groups(ancestors, limits.recordBytes() - OVERHEAD_BYTES)) {
            records.add(MapEntry.of(key(turn.id(), records.size()), StoredRecords.encodeChainCopy(position, group)));
            position += group.size();
        }
        records.add(MapEntry.of(RecordNames.of(turn.id()), StoredRecords.encode(turn)));
        return divide(records, limits.appendBytes() - REMOVALS_BYTES);
    }

    private static List<List<MapEntry>> divide(List<MapEntry> records, int maximumBytes) {
        List<List<MapEntry>> appends = new ArrayList<>();
        int appendBytes = 0;
        for (MapEntry record : records) {
            int bytes = record.value().orElseThrow().length + OVERHEAD_BYTES;
            if (appends.isEmpty() || appendBytes + bytes > maximumBytes) {
                appends.add(new ArrayList<>());
                appendBytes = 0;
            }
            appends.get(appends.size() - 1).add(record);
            appendBytes += bytes;
        }
        return appends;
    }

    private static List<List<TurnRecord>> groups(List<TurnRecord> ancestors, int maximumBytes) {
        List<List<TurnRecord>> groups = new ArrayList<>();
        int groupBytes = 0;
        for (TurnRecord turn : ancestors) {
            int bytes = turn.input().length + turn.output().length + TURN_OVERHEAD_BYTES;
            if (groups.isEmpty() || groupBytes + bytes > maximumBytes) {
                groups.add(new ArrayList<>());
                groupBytes = 0;
            }
            groups.get(groups.size() - 1).add(turn);
            groupBytes += bytes;
        }
        return groups;
    }

    /** Decodes the copies that are stored beside a turn. */
    static List<TurnRecord> decode(TurnRecord turn, List<MapEntry> entries) {
        List<TurnRecord> copies = new ArrayList<>();
        for (MapEntry entry : entries) {
            if (isCopyOf(turn.id(), entry.key()) && entry.value().isPresent()) {
                copies.addAll(StoredRecords.chainCopy(turn, entry.value().get()));
            }
        }
        return copies;
    }
}
