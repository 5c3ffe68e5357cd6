package org.quetzalshunt.core.decision.queue;

import java.util.Iterator;
import java.util.Map;
import org.agrona.collections.Object2ObjectHashMap;
import org.quetzalshunt.core.decision.WorkItem;

/** Table of root programs and the work that each attained, its sub-agents' included. */
public final class ProgramTable {
    /**
     * Idle time after which a program's row goes. Programs that end are told; this catches those that moved to
     * another entry or whose end was lost, which would grow the table without bound. Longer than the longest tool
     * pause, ten minutes, since a row lost early only puts a long program back on the first level.
     */
    static final long IDLE_MILLIS = 1_800_000;

    private static final class Row {
        private long attainedTokens;
        private long touchedMillis;
    }

    private final Map<String, Row> rows = new Object2ObjectHashMap<>();

    private ProgramTable() {}

    /** An empty table. */
    public static ProgramTable create() {
        return new ProgramTable();
    }

    /** Work attained by the root program of a request. */
    public long attained(WorkItem item) {
        Row row = rows.get(item.program());
        return row == null ? 0 : row.attainedTokens;
    }

    /** Adds attained work; a negative amount corrects an earlier one. */
    public void attain(long nowMillis, WorkItem item, long tokens) {
        Row row = rows.computeIfAbsent(item.program(), name -> new Row());
        row.attainedTokens = Math.max(0, row.attainedTokens + tokens);
        row.touchedMillis = nowMillis;
    }

    /** Forgets a program that ended. */
    public void forget(String program) {
        rows.remove(program);
    }

    /** Drops rows idle for longer than any tool pause. */
    public void sweep(long nowMillis) {
        Iterator<Row> values = rows.values().iterator();
        while (values.hasNext()) {
            if (nowMillis - values.next().touchedMillis > IDLE_MILLIS) {
                values.remove();
            }
        }
    }
}
