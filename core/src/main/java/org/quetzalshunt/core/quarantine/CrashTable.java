package org.quetzalshunt.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Counts endpoint crashes by the fingerprint of the requests that were running at the time. A request that was running
 * in three crashes is quarantined: it is not run again until it has not come for the time of its entry, an endpoint has
 * answered it, or a trial is due. A few trials over all VMs end the quarantine of a request that had nothing to do with the
 * crashes and keeps coming.
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

    /** Time after the last crash of a quarantined request, or after its last trial, at which a trial is due. */
    public static final long TRIAL_DELAY_MILLIS = 5_000;

    /** Trials of one quarantine over all VMs; the platform allows three runs after the third crash. */
    public static final int MAXIMUM_TRIALS = 2;

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
        if (entry.crashIds.add(crash)) {
            entry.lastCrashMillis = nowMillis;
        }
        entry.expiresMillis = nowMillis + RETENTION_MILLIS;
        entry.reportedMillis = nowMillis;
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

    /**
     * Crashes whose reports have to be renewed, so that VMs that start later know a quarantine that was extended; empty
     * if they are recent. The caller renews them.
     */
    public Set<String> takeReportsToRenew(long nowMillis, String fingerprint) {
        CrashEntry entry = entries.get(fingerprint);
        if (entry == null || nowMillis - entry.reportedMillis < RETENTION_MILLIS / 2) {
            return Set.of();
        }
        entry.reportedMillis = nowMillis;
        return Set.copyOf(entry.crashIds);
    }

    /**
     * Number of the trial that is due: one run of a quarantined request, to find out whether it still crashes its
     * endpoint. The VM that claims the number first has it. There is no other trial after one that was followed by a
     * crash.
     */
    public OptionalInt dueTrial(long nowMillis, String fingerprint) {
        CrashEntry entry = entries.get(fingerprint);
        if (entry == null || entry.crashIds.size() < QUARANTINE_CRASHES || entry.trials >= MAXIMUM_TRIALS) {
            return OptionalInt.empty();
        }
        boolean crashedAgain = entry.trials > 0 && entry.crashIds.size() > QUARANTINE_CRASHES;
        long lastMillis = Math.max(entry.lastCrashMillis, entry.lastTrialMillis);
        return crashedAgain || nowMillis - lastMillis < TRIAL_DELAY_MILLIS
                ? OptionalInt.empty()
                : OptionalInt.of(entry.trials + 1);
    }

    /**
     * Records a claim of a trial; all VMs read the claims in the same order. Later claims of the same number have no
     * effect.
     *
     * @param own whether this VM claimed it
     */
    public void recordTrial(long nowMillis, String fingerprint, int number, boolean own) {
        CrashEntry entry = entries.get(fingerprint);
        if (entry == null || number <= entry.trials) {
            return;
        }
        entry.trials = number;
        entry.lastTrialMillis = nowMillis;
        entry.holdsTrial = own;
    }

    /** Takes the trial that this VM has claimed first: the next request may run. Returns false if it has none. */
    public boolean takeTrial(String fingerprint) {
        CrashEntry entry = entries.get(fingerprint);
        if (entry == null || !entry.holdsTrial) {
            return false;
        }
        entry.holdsTrial = false;
        return true;
    }

    /** Whether no crash is recorded, in which case callers need not compute fingerprints. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    private static final class CrashEntry {
        final Set<String> crashIds = new HashSet<>();
        long expiresMillis;
        long reportedMillis;
        long lastCrashMillis;
        int trials;
        long lastTrialMillis;
        boolean holdsTrial;
    }
}
