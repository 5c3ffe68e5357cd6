package org.quetzalshunt.core.attempt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Engine memory held for programs, each entry under a lease that its owner renews. Guards against memory that stays
 * held for programs that are gone: an owner that died renews nothing, so its leases lapse, and an entry that no lease
 * covers, such as one from before a restart of this process, shows in the engine's own list and is freed from there.
 */
final class CacheLeases {
    /** Lapses are found this late at most, which is little against a lease of seconds. */
    private static final long SWEEP_MILLIS = 250;

    /** Entries that nobody knows are rare; a list of some hundred entries each minute costs nothing. */
    private static final long LIST_MILLIS = 60_000;

    private static final long FIRST_RETRY_MILLIS = 500;
    private static final long LARGEST_RETRY_MILLIS = 5_000;
    private static final int LARGEST_SHIFT = 4;

    private final Map<String, CacheLease> byProgram = new HashMap<>();
    private final Consumer<GateOutput> outputs;
    private long nextSweepMillis;
    private long nextListMillis;
    private long freed;
    private boolean ended;

    CacheLeases(Consumer<GateOutput> outputs, long firstListMillis) {
        this.outputs = outputs;
        this.nextListMillis = firstListMillis;
    }

    void renew(String program, int shard, long epoch, long leaseMillis, long nowMillis) {
        if (program.isEmpty() || ended) {
            return;
        }
        CacheLease lease = byProgram.computeIfAbsent(program, CacheLease::of);
        lease.shard = shard;
        lease.epoch = epoch;
        lease.expiresMillis = Math.max(lease.expiresMillis, nowMillis + leaseMillis);
        lease.freeing = false;
        lease.tries = 0;
    }

    void release(String program, int shard, long epoch, long nowMillis) {
        CacheLease lease = byProgram.computeIfAbsent(program, CacheLease::of);
        if (epoch < lease.epoch) {
            return;
        }
        lease.shard = shard;
        lease.epoch = epoch;
        lease.expiresMillis = nowMillis;
        nextSweepMillis = nowMillis;
    }

    /** The engine answered a {@link GateOutput.FreeCache}, or not. */
    void freed(String program, boolean answered, long nowMillis) {
        CacheLease lease = byProgram.get(program);
        if (lease == null) {
            return;
        }
        lease.asked = false;
        if (!answered) {
            long delay = Math.min(LARGEST_RETRY_MILLIS, FIRST_RETRY_MILLIS << Math.min(lease.tries, LARGEST_SHIFT));
            lease.nextTryMillis = nowMillis + delay;
            lease.tries++;
            return;
        }
        freed++;
        if (lease.freeing) {
            byProgram.remove(program);
        }
    }

    /** The engine listed the entries that it holds. */
    void listed(List<String> heldPrograms, long nowMillis) {
        for (String program : heldPrograms) {
            if (!byProgram.containsKey(program)) {
                byProgram.put(program, CacheLease.of(program));
                nextSweepMillis = nowMillis;
            }
        }
    }

    /**
     * The process is leaving: every lease ends now and none is renewed. Without it an engine whose sidecar was stopped in
     * the planned way would hold the memory of its programs until it is stopped itself, since nobody else frees it.
     */
    void endAll(long nowMillis) {
        ended = true;
        byProgram.values().forEach(lease -> lease.expiresMillis = nowMillis);
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

    int held() {
        return byProgram.size();
    }

    long freedCount() {
        return freed;
    }

    private void sweep(CacheLease lease, long nowMillis, Predicate<String> isRunning) {
        boolean lapsed = lease.expiresMillis <= nowMillis && !isRunning.test(lease.program);
        if (!lapsed || lease.asked || nowMillis < lease.nextTryMillis) {
            return;
        }
        lease.freeing = true;
        lease.asked = true;
        outputs.accept(new GateOutput.FreeCache(lease.program));
    }
}
