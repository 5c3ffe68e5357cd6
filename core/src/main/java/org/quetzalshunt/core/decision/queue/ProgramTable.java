package org.quetzalshunt.core.decision.queue;

import java.util.Iterator;
import java.util.Map;
import org.agrona.collections.Object2ObjectHashMap;
import org.quetzalshunt.core.decision.WorkItem;

/** Work attained by each root program, including the work of its sub-agents. */
public final class ProgramTable {
    /**
     * Idle time after which a program is removed. Usually a program is removed when its end is reported; the time-out
     * removes programs that moved to another entry or whose end was lost, which would grow the table without bound. It
     * is longer than the longest tool pause, ten minutes. Removing a program too early only moves it back to the first
     * level.
     */
    static final long IDLE_MILLIS = 1_800_000;

    private static final class Row {
        private long attainedTokens;
        private long lastUsedMillis;
    }

    private final Map<String, Row> rows = new Object2ObjectHashMap<>();

    private ProgramTable() {}

    /** Creates an empty table. */
    public static ProgramTable create() {
        return new ProgramTable();
    }

    /** Work attained by the root program of a request. */
    public long attainedTokens(WorkItem item) {
        Row row = rows.get(item.program());
        return row == null ? 0 : row.attainedTokens;
    }

    /** Adds attained work; a negative amount corrects an earlier one. */
    public void addAttainedTokens(long nowMillis, WorkItem item, long tokens) {
        Row row = rows.computeIfAbsent(item.program(), name -> new Row());
        row.attainedTokens = Math.max(0, row.attainedTokens + tokens);
        row.lastUsedMillis = nowMillis;
    }

    /** Removes a program that ended. */
    public void remove(String program) {
        rows.remove(program);
    }

    /** Removes programs that have been idle for longer than any tool pause. */
    public void removeIdle(long nowMillis) {
        Iterator<Row> values = rows.values().iterator();
        while (values.hasNext()) {
            if (nowMillis - values.next().lastUsedMillis > IDLE_MILLIS) {
                values.remove();
            }
        }
    }
}
