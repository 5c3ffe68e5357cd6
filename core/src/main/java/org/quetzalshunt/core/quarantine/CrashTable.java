package org.quetzalshunt.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Counts endpoint crashes by the fingerprint of the requests that were running at the time. A request that was running
 * in three crashes is quarantined: it is not run again until it has not come for the time of its entry.
 *
 * <p>Guards against a request that crashes every endpoint that runs it and that its caller retries at any VM, which
 * would take down one endpoint after another. A request that only happened to be running when an endpoint crashed for
 * another reason rarely reaches the count, and its entry is removed as soon as an endpoint answers it.
 */
public final class CrashTable {
    /** Two crashes with the same request can be coincidence when several endpoints fail in a row; three are not. */
    public static final int QUARANTINE_CRASHES = 3;

    /**
     * Time after the last crash of a request, or after its last refusal, at which its entry expires: a request that
     * keeps coming must not crash further endpoints once in this time, and one that has stopped should be tried again.
     */
    public static final long RETENTION_MILLIS = 120_000;

    private final Map<String, CrashEntry> entries = new HashMap<>();

    private CrashTable() {}

    /** Creates an empty table. */
    public static CrashTable create() {
        return new CrashTable();
    }

    /**
     * Records a crash that this VM detected or another VM reported.
     *
     * @param crash id of the crash, as {@link EndpointCrashes} names it; a crash is counted once
     */
    public void recordCrash(long nowMillis, String fingerprint, String crash) {
        CrashEntry entry = entries.computeIfAbsent(fingerprint, ignored -> new CrashEntry());
        entry.crashIds.add(crash);
        entry.expiresMillis = nowMillis + RETENTION_MILLIS;
    }

    /** Removes a crash whose report another VM has removed. */
    public void removeCrash(String fingerprint, String crash) {
        CrashEntry entry = entries.get(fingerprint);
        if (entry == null) {
            return;
        }
        entry.crashIds.remove(crash);
        if (entry.crashIds.isEmpty()) {
            entries.remove(fingerprint);
        }
    }

    /**
     * Removes the entry of a request that an endpoint answered without crashing.
     *
     * @return the crashes of the entry, which other VMs have to remove too
     */
    public Set<String> recordAnswer(String fingerprint) {
        CrashEntry entry = entries.remove(fingerprint);
        return entry == null ? Set.of() : entry.crashIds;
    }

    /** Whether the request is quarantined and must not run. Its quarantine then lasts on from now. */
    public boolean isQuarantined(long nowMillis, String fingerprint) {
        CrashEntry entry = entries.get(fingerprint);
        if (entry == null) {
            return false;
        }
        if (entry.expiresMillis <= nowMillis) {
            entries.remove(fingerprint);
            return false;
        }
        boolean quarantined = entry.crashIds.size() >= QUARANTINE_CRASHES;
        if (quarantined) {
            entry.expiresMillis = nowMillis + RETENTION_MILLIS;
        }
        return quarantined;
    }

    /** Whether no crash is recorded, in which case callers need not compute fingerprints. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    private static final class CrashEntry {
        final Set<String> crashIds = new HashSet<>();
        long expiresMillis;
    }
}
