package org.quetzalshunt.core.attempt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Leases on the engine's cache entries, one for each program, which the program's owner renews. They keep programs that
 * no longer exist from occupying engine memory: the leases of a dead owner expire, and entries without a lease, such as
 * those from before a restart of this process, are found in the engine's own list and freed.
 */
final class CacheLeases {
    /** Greatest delay in detecting an expired lease, which is short compared with leases of several seconds. */
    private static final long SWEEP_MILLIS = 250;

    /** Entries without a lease are rare, and listing a few hundred entries once a minute costs next to nothing. */
    private static final long LIST_MILLIS = 60_000;

    private static final long FIRST_RETRY_MILLIS = 500;
    private static final long MAXIMUM_RETRY_MILLIS = 5_000;
    private static final int MAXIMUM_RETRY_DOUBLINGS = 4;

    private final Map<String, CacheLease> byProgram = new HashMap<>();
    private final Consumer<GateOutput> outputs;
    private long nextSweepMillis;
    private long nextListMillis;
    private long freedEntries;
    private boolean isClosed;

    CacheLeases(Consumer<GateOutput> outputs, long firstListMillis) {
        this.outputs = outputs;
        this.nextListMillis = firstListMillis;
    }

    void renew(String program, int shard, long epoch, long leaseMillis, long nowMillis) {
        if (program.isEmpty() || isClosed) {
            return;
        }
        CacheLease lease = byProgram.computeIfAbsent(program, CacheLease::of);
        lease.shard = shard;
        lease.epoch = epoch;
        lease.expiresAtMillis = Math.max(lease.expiresAtMillis, nowMillis + leaseMillis);
        lease.isFreeRequested = false;
        lease.failedTries = 0;
    }

    void release(String program, int shard, long epoch, long nowMillis) {
        CacheLease lease = byProgram.computeIfAbsent(program, CacheLease::of);
        if (epoch < lease.epoch) {
            return;
        }
        lease.shard = shard;
        lease.epoch = epoch;
        lease.expiresAtMillis = nowMillis;
        nextSweepMillis = nowMillis;
    }

    /**
     * Handles the outcome of a {@link GateOutput.FreeCache}; without an answer, it is retried with exponential
     * back-off.
     */
    void onFreeResult(String program, boolean answered, long nowMillis) {
        CacheLease lease = byProgram.get(program);
        if (lease == null) {
            return;
        }
        lease.isAwaitingReply = false;
        if (!answered) {
            long delay = Math.min(
                    MAXIMUM_RETRY_MILLIS, FIRST_RETRY_MILLIS << Math.min(lease.failedTries, MAXIMUM_RETRY_DOUBLINGS));
            lease.retryAtMillis = nowMillis + delay;
            lease.failedTries++;
            return;
        }
        freedEntries++;
        if (lease.isFreeRequested) {
            byProgram.remove(program);
        }
    }

    /** Adds an expired lease for each listed entry that has none, so that the next sweep frees the entry. */
    void onListed(List<String> heldPrograms, long nowMillis) {
        for (String program : heldPrograms) {
            if (!byProgram.containsKey(program)) {
                byProgram.put(program, CacheLease.of(program));
                nextSweepMillis = nowMillis;
            }
        }
    }

    /**
     * Expires all leases and accepts no renewal from now on, for a planned stop of this process. Otherwise the engine
     * would hold the memory of its programs until it is stopped itself, because no other process frees it.
     */
    void expireAll(long nowMillis) {
        isClosed = true;
        byProgram.values().forEach(lease -> lease.expiresAtMillis = nowMillis);
        nextSweepMillis = nowMillis;
    }

    void tick(long nowMillis, Predicate<String> isRunning) {
        if (nowMillis >= nextListMillis) {
            nextListMillis = nowMillis + LIST_MILLIS;
            outputs.accept(new GateOutput.ListCache());
        }
        if (nowMillis < nextSweepMillis) {
            return;
        }
        nextSweepMillis = nowMillis + SWEEP_MILLIS;
        for (CacheLease lease : new ArrayList<>(byProgram.values())) {
            sweep(lease, nowMillis, isRunning);
        }
    }

    int heldCount() {
        return byProgram.size();
    }

    long freedCount() {
        return freedEntries;
    }

    private void sweep(CacheLease lease, long nowMillis, Predicate<String> isRunning) {
        boolean isExpired = lease.expiresAtMillis <= nowMillis && !isRunning.test(lease.program);
        if (!isExpired || lease.isAwaitingReply || nowMillis < lease.retryAtMillis) {
            return;
        }
        lease.isFreeRequested = true;
        lease.isAwaitingReply = true;
        outputs.accept(new GateOutput.FreeCache(lease.program));
    }
}
