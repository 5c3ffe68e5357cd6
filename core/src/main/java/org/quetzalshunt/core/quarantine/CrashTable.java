package org.quetzalshunt.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Requests that were running where an endpoint crashed, by their fingerprint. One that did so three times is not run
 * again.
 *
 * <p>Guards against a request that crashes each endpoint that begins to run it, and that its caller sends again at any
 * VM: unguarded, it takes down one endpoint after the other. A request that merely ran where an endpoint died of something
 * else is told apart by the count, and by an answer: one that was ever answered since is innocent.
 */
public final class CrashTable {
    /** Two crashes may be chance while endpoints die in a row; a third at the same request is not. */
    public static final int CRASHES = 3;

    /** How long a crash counts. Callers come back within seconds; an endpoint that was mended deserves a new try. */
    public static final long KEEP_MILLIS = 120_000;

    private final Map<String, Row> rows = new HashMap<>();

    private CrashTable() {}

    /** An empty table. */
    public static CrashTable create() {
        return new CrashTable();
    }

    /**
     * A crash became known, here or at another VM.
     *
     * @param crash names the one crash, so that hearing of it twice counts once
     */
    public void crashed(long nowMillis, String fingerprint, String crash) {
        Row row = rows.computeIfAbsent(fingerprint, ignored -> new Row());
        row.crashes.add(crash);
        row.untilMillis = nowMillis + KEEP_MILLIS;
    }

    /** The request was answered by an endpoint that lived. */
    public void answered(String fingerprint) {
        rows.remove(fingerprint);
    }

    /** Whether the request must not run. */
    public boolean quarantined(long nowMillis, String fingerprint) {
        Row row = rows.get(fingerprint);
        if (row == null) {
            return false;
        }
        if (row.untilMillis <= nowMillis) {
            rows.remove(fingerprint);
            return false;
        }
        return row.crashes.size() >= CRASHES;
    }

    /** Whether no crash is known, so that fingerprints need not be taken. */
    public boolean isEmpty() {
        return rows.isEmpty();
    }

    private static final class Row {
        final Set<String> crashes = new HashSet<>();
        long untilMillis;
    }
}
