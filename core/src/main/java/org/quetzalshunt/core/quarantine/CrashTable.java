package org.quetzalshunt.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Counts endpoint crashes by the fingerprint of the requests that were running at the time. A request that was running
 * in three crashes is quarantined: it is not run again until the record of its crashes expires.
 *
 * <p>Guards against a request that crashes every endpoint that runs it and that its caller retries at any VM, which
 * would take down one endpoint after another. A request that only happened to be running when an endpoint crashed for
 * another reason is told apart by the count, and its record is removed as soon as an endpoint answers it.
 */
public final class CrashTable {
    /** Two crashes with the same request can be coincidence when several endpoints fail in a row; three are not. */
    public static final int CRASHES = 3;

    /**
     * How long a request's crashes are remembered after the last of them. Callers retry within seconds, and an endpoint
     * that was repaired should be tried again.
     */
    public static final long KEEP_MILLIS = 120_000;

    private final Map<String, CrashRecord> records = new HashMap<>();

    private CrashTable() {}

    /** Creates an empty table. */
    public static CrashTable create() {
        return new CrashTable();
    }

    /**
     * Records a crash that this VM detected or another VM reported.
     *
     * @param crash id of the crash; a crash that is reported more than once is counted once
     */
    public void crashed(long nowMillis, String fingerprint, String crash) {
        CrashRecord record = records.computeIfAbsent(fingerprint, ignored -> new CrashRecord());
        record.crashIds.add(crash);
        record.expiresMillis = nowMillis + KEEP_MILLIS;
    }

    /** Removes the record of a request that an endpoint answered without crashing. */
    public void answered(String fingerprint) {
        records.remove(fingerprint);
    }

    /** Whether the request is quarantined and must not run. */
    public boolean quarantined(long nowMillis, String fingerprint) {
        CrashRecord record = records.get(fingerprint);
        if (record == null) {
            return false;
        }
        if (record.expiresMillis <= nowMillis) {
            records.remove(fingerprint);
            return false;
        }
        return record.crashIds.size() >= CRASHES;
    }

    /** Whether no crash is recorded, in which case callers need not compute fingerprints. */
    public boolean isEmpty() {
        return records.isEmpty();
    }

    private static final class CrashRecord {
        final Set<String> crashIds = new HashSet<>();
        long expiresMillis;
    }
}
