package org.quetzalshunt.core.attempt;

import static com.google.common.truth.Truth.assertThat;
import static org.quetzalshunt.core.attempt.GateBench.EPOCH;
import static org.quetzalshunt.core.attempt.GateBench.LEASE_MILLIS;
import static org.quetzalshunt.core.attempt.GateBench.SHARD;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalshunt.core.document.ServiceKind;

final class CacheLeasesTest {
    // The entry that owns a program dies. Nobody renews, nobody says that the program ended, and the engine would
    // hold its memory for ever: after the lease it is freed, once.
    @Test
    void lapsedLeaseIsFreed() {
        GateBench bench = finished();
        bench.pass(LEASE_MILLIS - 500);
        assertThat(bench.all(GateOutput.FreeCache.class)).isEmpty();
        bench.pass(1_000);
        assertThat(bench.all(GateOutput.FreeCache.class)).hasSize(1);
        bench.gate.cacheFreed("program", true, bench.now);
        bench.pass(LEASE_MILLIS);
        assertThat(bench.all(GateOutput.FreeCache.class)).hasSize(1);
        assertThat(bench.gate.counts().heldPrograms()).isEqualTo(0);
        assertThat(bench.gate.counts().freedPrograms()).isEqualTo(1);
    }

    // A program pauses for a tool longer than a lease, and its owner renews meanwhile: its cache must still be there.
    @Test
    void renewedLeaseStays() {
        GateBench bench = finished();
        for (int renewal = 0; renewal < 5; renewal++) {
            bench.pass(LEASE_MILLIS / 2);
            bench.gate.renewCache(SHARD, EPOCH, List.of("program"), LEASE_MILLIS, bench.now);
        }
        assertThat(bench.all(GateOutput.FreeCache.class)).isEmpty();
    }

    // An owner paused past its lease wakes up and releases what it thinks ended, while the new owner has the program
    // running. Only the present owner's word counts.
    @ParameterizedTest
    @CsvSource({"-1, 0", "0, 1", "1, 1"})
    void releaseOfAFormerOwnerIsVoid(long epochDifference, int freed) {
        GateBench bench = finished();
        bench.gate.releaseCache(SHARD, EPOCH + epochDifference, "program", bench.now);
        bench.pass(500);
        assertThat(bench.all(GateOutput.FreeCache.class)).hasSize(freed);
    }

    // The same, and the new owner has only shown itself here by work for another program: it has not renewed yet.
    @Test
    void formerOwnerIsKnownFromWorkForAnotherProgram() {
        GateBench bench = finished();
        bench.gate.renewCache(SHARD, EPOCH + 1, List.of("another"), LEASE_MILLIS, bench.now);
        bench.gate.releaseCache(SHARD, EPOCH, "program", bench.now);
        bench.pass(500);
        assertThat(bench.all(GateOutput.FreeCache.class)).isEmpty();
    }

    // A sidecar is stopped as planned and no one else frees the engine's memory afterwards. What is held goes at once,
    // and a renewal that is still on its way holds nothing.
    @Test
    void leavingFreesWhatIsHeld() {
        GateBench bench = finished();
        bench.gate.leave();
        bench.pass(500);
        bench.gate.renewCache(SHARD, EPOCH, List.of("program", "another"), LEASE_MILLIS, bench.now);
        assertThat(bench.all(GateOutput.FreeCache.class)).containsExactly(new GateOutput.FreeCache("program"));
        bench.gate.cacheFreed("program", true, bench.now);
        assertThat(bench.gate.counts().heldPrograms()).isEqualTo(0);
    }

    // The engine is restarting when a program ends, so the first attempts to free its memory get no answer.
    @Test
    void freeingIsRepeatedUntilTheEngineAnswers() {
        GateBench bench = finished();
        bench.gate.releaseCache(SHARD, EPOCH, "program", bench.now);
        for (int tries = 1; tries <= 6; tries++) {
            bench.pass(5_500);
            assertThat(bench.all(GateOutput.FreeCache.class)).hasSize(tries);
            bench.gate.cacheFreed("program", false, bench.now);
        }
        assertThat(bench.gate.counts().heldPrograms()).isEqualTo(1);
    }

    // A lease lapses while the program's turn still runs: freeing now would have the engine compute it all again.
    @Test
    void runningProgramKeepsItsCache() {
        GateBench bench = GateBench.of(ServiceKind.ENGINE).start(true).head(0, 200);
        bench.gate.releaseCache(SHARD, EPOCH, "program", bench.now);
        bench.pass(1_000);
        assertThat(bench.all(GateOutput.FreeCache.class)).isEmpty();
        bench.done(0).pass(500);
        assertThat(bench.all(GateOutput.FreeCache.class)).hasSize(1);
    }

    // The program comes back while the engine is still being told to free it: the entry counts as held again.
    @Test
    void programThatComesBackWhileItIsFreed() {
        GateBench bench = finished();
        bench.gate.releaseCache(SHARD, EPOCH, "program", bench.now);
        bench.pass(500);
        bench.gate.renewCache(SHARD, EPOCH, List.of("program"), LEASE_MILLIS, bench.now);
        bench.gate.cacheFreed("program", true, bench.now);
        assertThat(bench.gate.counts().heldPrograms()).isEqualTo(1);
    }

    // A sidecar restarts and knows no lease. Living owners renew within one lease time; what the engine holds beyond
    // that belongs to programs that are gone.
    @Test
    void restartFreesWhatNoLeaseCovers() {
        GateBench bench = GateBench.of(ServiceKind.ENGINE);
        bench.pass(LEASE_MILLIS - 500);
        bench.gate.renewCache(SHARD, EPOCH, List.of("living"), LEASE_MILLIS, bench.now);
        assertThat(bench.all(GateOutput.ListCache.class)).isEmpty();
        bench.pass(1_000);
        assertThat(bench.all(GateOutput.ListCache.class)).hasSize(1);
        bench.gate.cacheListed(List.of("living", "gone"), bench.now);
        bench.pass(500);
        assertThat(bench.all(GateOutput.FreeCache.class)).containsExactly(new GateOutput.FreeCache("gone"));
    }

    private static GateBench finished() {
        return GateBench.of(ServiceKind.ENGINE)
                .start(true)
                .head(0, 200)
                .data(0, "a")
                .done(0);
    }
}
