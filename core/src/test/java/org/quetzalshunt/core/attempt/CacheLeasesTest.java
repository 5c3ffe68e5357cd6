package org.quetzalshunt.core.attempt;

import static com.google.common.truth.Truth.assertThat;
import static org.quetzalshunt.core.attempt.GateHarness.EPOCH;
import static org.quetzalshunt.core.attempt.GateHarness.LEASE_MILLIS;
import static org.quetzalshunt.core.attempt.GateHarness.SHARD;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalshunt.core.document.ServiceKind;

final class CacheLeasesTest {
    // The entry process that owns a program dies, so its lease is neither renewed nor released, and the engine would
    // never free the memory. The cache entry must be freed once the lease has expired, and only once.
    @Test
    void expiredLeaseIsFreedOnce() {
        GateHarness harness = harnessWithFinishedAttempt();
        harness.advance(LEASE_MILLIS - 500);
        assertThat(harness.outputsOf(GateOutput.FreeCache.class)).isEmpty();
        harness.advance(1_000);
        assertThat(harness.outputsOf(GateOutput.FreeCache.class)).hasSize(1);
        harness.gate.cacheFreed("program", true, harness.now);
        harness.advance(LEASE_MILLIS);
        assertThat(harness.outputsOf(GateOutput.FreeCache.class)).hasSize(1);
        assertThat(harness.gate.counts().heldPrograms()).isEqualTo(0);
        assertThat(harness.gate.counts().freedPrograms()).isEqualTo(1);
    }

    // A program waits for a tool longer than one lease period while its owner renews the lease. Its cache entry must be
    // kept.
    @Test
    void renewedLeaseIsNotFreed() {
        GateHarness harness = harnessWithFinishedAttempt();
        for (int renewal = 0; renewal < 5; renewal++) {
            harness.advance(LEASE_MILLIS / 2);
            harness.gate.renewCache(SHARD, EPOCH, List.of("program"), LEASE_MILLIS, harness.now);
        }
        assertThat(harness.outputsOf(GateOutput.FreeCache.class)).isEmpty();
    }

    // An owner that was paused past its lease resumes and releases a program that the new owner is running. Only a
    // release by the current owner may take effect.
    @ParameterizedTest
    @CsvSource({"-1, 0", "0, 1", "1, 1"})
    void releaseByAFormerOwnerIsIgnored(long epochDifference, int freed) {
        GateHarness harness = harnessWithFinishedAttempt();
        harness.gate.releaseCache(SHARD, EPOCH + epochDifference, "program", harness.now);
        harness.advance(500);
        assertThat(harness.outputsOf(GateOutput.FreeCache.class)).hasSize(freed);
    }

    // As above, but the new owner is known only from a renewal for another program and has not renewed this lease yet.
    @Test
    void releaseByAFormerOwnerIsIgnoredBeforeTheNewOwnerRenews() {
        GateHarness harness = harnessWithFinishedAttempt();
        harness.gate.renewCache(SHARD, EPOCH + 1, List.of("another"), LEASE_MILLIS, harness.now);
        harness.gate.releaseCache(SHARD, EPOCH, "program", harness.now);
        harness.advance(500);
        assertThat(harness.outputsOf(GateOutput.FreeCache.class)).isEmpty();
    }

    // After a planned stop of a sidecar, no other process frees the engine's memory. All cache entries must be freed at
    // once, and a renewal that arrives late must not create a lease.
    @Test
    void plannedStopFreesAllCacheEntries() {
        GateHarness harness = harnessWithFinishedAttempt();
        harness.gate.startDraining();
        harness.advance(500);
        harness.gate.renewCache(SHARD, EPOCH, List.of("program", "another"), LEASE_MILLIS, harness.now);
        assertThat(harness.outputsOf(GateOutput.FreeCache.class)).containsExactly(new GateOutput.FreeCache("program"));
        harness.gate.cacheFreed("program", true, harness.now);
        assertThat(harness.gate.counts().heldPrograms()).isEqualTo(0);
    }

    // The engine is restarting when a program ends, so the first requests to free its cache entry get no answer.
    @Test
    void freeIsRetriedUntilTheEngineAnswers() {
        GateHarness harness = harnessWithFinishedAttempt();
        harness.gate.releaseCache(SHARD, EPOCH, "program", harness.now);
        for (int tries = 1; tries <= 6; tries++) {
            harness.advance(5_500);
            assertThat(harness.outputsOf(GateOutput.FreeCache.class)).hasSize(tries);
            harness.gate.cacheFreed("program", false, harness.now);
        }
        assertThat(harness.gate.counts().heldPrograms()).isEqualTo(1);
    }

    // A lease expires while an attempt of the program is running. Freeing the cache entry then would make the engine
    // compute all of it again.
    @Test
    void runningProgramKeepsItsCache() {
        GateHarness harness = GateHarness.of(ServiceKind.ENGINE).start(true).head(0, 200);
        harness.gate.releaseCache(SHARD, EPOCH, "program", harness.now);
        harness.advance(1_000);
        assertThat(harness.outputsOf(GateOutput.FreeCache.class)).isEmpty();
        harness.done(0).advance(500);
        assertThat(harness.outputsOf(GateOutput.FreeCache.class)).hasSize(1);
    }

    // A program's lease is renewed while the engine is freeing its cache entry. The entry must count as held again.
    @Test
    void leaseRenewedDuringAFreeIsKept() {
        GateHarness harness = harnessWithFinishedAttempt();
        harness.gate.releaseCache(SHARD, EPOCH, "program", harness.now);
        harness.advance(500);
        harness.gate.renewCache(SHARD, EPOCH, List.of("program"), LEASE_MILLIS, harness.now);
        harness.gate.cacheFreed("program", true, harness.now);
        assertThat(harness.gate.counts().heldPrograms()).isEqualTo(1);
    }

    // A restarted sidecar has no leases. Live owners renew theirs within one lease period; cache entries without a
    // lease after that belong to programs that no longer exist, and must be freed.
    @Test
    void restartFreesEntriesWithoutALease() {
        GateHarness harness = GateHarness.of(ServiceKind.ENGINE);
        harness.advance(LEASE_MILLIS - 500);
        harness.gate.renewCache(SHARD, EPOCH, List.of("living"), LEASE_MILLIS, harness.now);
        assertThat(harness.outputsOf(GateOutput.ListCache.class)).isEmpty();
        harness.advance(1_000);
        assertThat(harness.outputsOf(GateOutput.ListCache.class)).hasSize(1);
        harness.gate.cacheListed(List.of("living", "gone"), harness.now);
        harness.advance(500);
        assertThat(harness.outputsOf(GateOutput.FreeCache.class)).containsExactly(new GateOutput.FreeCache("gone"));
    }

    private static GateHarness harnessWithFinishedAttempt() {
        return GateHarness.of(ServiceKind.ENGINE)
                .start(true)
                .head(0, 200)
                .data(0, "a")
                .done(0);
    }
}
