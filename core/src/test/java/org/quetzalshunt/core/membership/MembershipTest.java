package org.quetzalshunt.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;

final class MembershipTest {
    private static final List<Vm> LIST = IntStream.range(0, 3)
            .mapToObj(index -> vm("entry-" + index, VmRole.ENTRY, false))
            .toList();

    private Membership membership;
    private int changes;

    private static Vm vm(String name, VmRole role, boolean leaving) {
        return new Vm(name, role, "127.0.0.1", 1, "arusha-a", "", leaving);
    }

    private static HeartbeatNews word(String name, long incarnation, long beat, boolean leaving, Integer... shards) {
        return new HeartbeatNews(name, incarnation, beat, 10, 0, leaving, List.of(shards));
    }

    @BeforeEach
    void start() {
        membership = Membership.create(VmId.of("entry-0", 5), LIST.get(0), MembershipSettings.defaults());
        membership.onVmList(0, LIST);
        membership.onHeartbeat(0, word("entry-1", 5, 1, false, 4));
        membership.onHeartbeat(0, word("entry-2", 5, 1, false));
        membership.onChange(() -> changes++);
    }

    private Member member(String name) {
        return membership.entry(name).orElseThrow();
    }

    /**
     * A VM is replaced at the same address while it owns shards, and a late heartbeat of its former process arrives
     * after the new one's first. Callers would be sent to shards that nobody owns.
     */
    @Test
    void wordOfAFormerIncarnationIsVoid() {
        membership.onHeartbeat(100, word("entry-1", 6, 1, false));
        membership.onHeartbeat(200, word("entry-1", 5, 9, true, 4));

        assertThat(member("entry-1").id().incarnation()).isEqualTo(6);
        assertThat(member("entry-1").ownedShards()).isEmpty();
        assertThat(member("entry-1").leaving()).isFalse();
        assertThat(membership.onIncarnation(200, VmId.of("entry-1", 5))).isFalse();
    }

    /**
     * An entry says that it leaves, and then an older copy of its word, passed on by another, arrives. New programs
     * would be placed on an entry that stops.
     */
    @Test
    void leavingVmsOwnWordComesFirst() {
        membership.onHeartbeat(100, word("entry-1", 5, 3, true));
        membership.onDigest(200, List.of(word("entry-1", 5, 2, false)));
        membership.onVmList(300, LIST);

        assertThat(member("entry-1").leaving()).isTrue();
        assertThat(IntStream.range(0, 64)
                        .mapToObj(shard -> membership.candidate(shard).orElseThrow())
                        .toList())
                .doesNotContain("entry-1");
    }

    /** An entry's process dies: its connection closes, and words from before its death go on arriving through others. */
    @Test
    void lostConnectionAndNoLaterWordMeansDead() {
        membership.onConnectionLost(1_000, VmId.of("entry-1", 5));
        membership.onDigest(1_200, List.of(word("entry-1", 5, 2, false)));
        membership.tick(1_600);

        assertThat(member("entry-1").alive()).isFalse();
        assertThat(changes).isGreaterThan(0);
    }

    /** A link breaks although both ends live: the entry connects again and must not lose its part of the limits. */
    @Test
    void connectionThatComesBackKeepsTheEntryAlive() {
        membership.onConnectionLost(1_000, VmId.of("entry-1", 5));
        membership.onHeartbeat(1_300, word("entry-1", 5, 2, false));
        membership.tick(1_700);

        assertThat(member("entry-1").alive()).isTrue();
    }

    /** An entry hangs with its connections open: it is found by its silence, not by TCP. */
    @Test
    void silenceMeansDead() {
        membership.onHeartbeat(3_000, word("entry-2", 5, 2, false));
        membership.tick(4_100);

        assertThat(member("entry-1").alive()).isFalse();
        assertThat(member("entry-2").alive()).isTrue();
    }

    /** The platform's list lags: it names a VM that has gone, and not yet one that has come. */
    @Test
    void listedButUnheardIsNotAlive() {
        List<Vm> longer = new ArrayList<>(LIST);
        longer.add(vm("entry-3", VmRole.ENTRY, false));
        longer.add(vm("sidecar-1", VmRole.SIDECAR, false));
        membership.onVmList(100, longer);

        assertThat(member("entry-3").alive()).isFalse();
        assertThat(membership.liveEntries()).hasSize(3);
        assertThat(membership.sidecars()).hasSize(1);
    }

    /** Whatever the size of the fleet, one round costs a bounded number of messages. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 48, 330})
    void heartbeatsAreBounded(int size) {
        List<Vm> list = IntStream.range(0, size)
                .mapToObj(index -> vm("entry-" + index, VmRole.ENTRY, false))
                .toList();
        membership.onVmList(0, list);
        list.forEach(vm -> membership.onHeartbeat(10, word(vm.name(), 5, 2, false)));

        List<String> targets = membership.heartbeatTargets(100);
        assertThat(targets).hasSize(Math.min(size - 1, 4));
        assertThat(membership.heartbeatTargets(101)).isEmpty();
        targets.forEach(target -> assertThat(membership.digest(target).size()).isAtMost(24));
    }
}
