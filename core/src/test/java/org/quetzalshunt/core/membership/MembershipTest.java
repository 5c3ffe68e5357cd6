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
    private static final List<Vm> VM_LIST = IntStream.range(0, 3)
            .mapToObj(index -> vm("entry-" + index, VmRole.ENTRY, false))
            .toList();

    private Membership membership;
    private int changes;

    private static Vm vm(String name, VmRole role, boolean leaving) {
        return new Vm(name, role, "127.0.0.1", 1, "arusha-a", "", leaving);
    }

    private static MemberHeartbeat heartbeat(
            String name, long incarnation, long beat, boolean leaving, Integer... shards) {
        return new MemberHeartbeat(name, incarnation, beat, 10, 0, leaving, List.of(shards));
    }

    @BeforeEach
    void start() {
        membership = Membership.create(VmId.of("entry-0", 5), VM_LIST.get(0), MembershipSettings.defaults());
        membership.onVmList(0, VM_LIST);
        membership.onHeartbeat(0, heartbeat("entry-1", 5, 1, false, 4));
        membership.onHeartbeat(0, heartbeat("entry-2", 5, 1, false));
        membership.onChange(() -> changes++);
    }

    private Member member(String name) {
        return membership.entry(name).orElseThrow();
    }

    /**
     * A VM is replaced at the same address while it owns shards, and a late heartbeat of its former process arrives
     * after the first one of the new process. Guards against callers that are sent to shards that no VM owns.
     */
    @Test
    void heartbeatOfAFormerIncarnationIsIgnored() {
        membership.onHeartbeat(100, heartbeat("entry-1", 6, 1, false));
        membership.onHeartbeat(200, heartbeat("entry-1", 5, 9, true, 4));

        assertThat(member("entry-1").id().incarnation()).isEqualTo(6);
        assertThat(member("entry-1").ownedShards()).isEmpty();
        assertThat(member("entry-1").leaving()).isFalse();
        assertThat(membership.acceptIncarnation(200, VmId.of("entry-1", 5))).isFalse();
    }

    /**
     * An entry announces its shutdown, and then an older heartbeat of it, forwarded by another entry, arrives. Guards
     * against new programs on an entry that is shutting down.
     */
    @Test
    void announcedShutdownIsNotRevokedByAnOlderHeartbeat() {
        membership.onHeartbeat(100, heartbeat("entry-1", 5, 3, true));
        membership.onDigest(200, List.of(heartbeat("entry-1", 5, 2, false)));
        membership.onVmList(300, VM_LIST);

        assertThat(member("entry-1").leaving()).isTrue();
        assertThat(IntStream.range(0, 64)
                        .mapToObj(shard -> membership.preferredOwner(shard).orElseThrow())
                        .toList())
                .doesNotContain("entry-1");
    }

    /**
     * An entry's process dies. Its connection closes, while heartbeats from before its death still arrive through other
     * entries.
     */
    @Test
    void lostConnectionWithoutLaterHeartbeatMeansDead() {
        membership.onConnectionLost(1_000, VmId.of("entry-1", 5));
        membership.onDigest(1_200, List.of(heartbeat("entry-1", 5, 2, false)));
        membership.tick(1_600);

        assertThat(member("entry-1").alive()).isFalse();
        assertThat(changes).isGreaterThan(0);
    }

    /**
     * A connection breaks although both ends are alive. The entry reconnects and must not lose its part of the limits.
     */
    @Test
    void reconnectionKeepsTheEntryAlive() {
        membership.onConnectionLost(1_000, VmId.of("entry-1", 5));
        membership.onHeartbeat(1_300, heartbeat("entry-1", 5, 2, false));
        membership.tick(1_700);

        assertThat(member("entry-1").alive()).isTrue();
    }

    /**
     * An entry hangs with its connections open. It must be detected by its missing heartbeats, since TCP reports no
     * failure.
     */
    @Test
    void missingHeartbeatsMeanDead() {
        membership.onHeartbeat(3_000, heartbeat("entry-2", 5, 2, false));
        membership.tick(4_100);

        assertThat(member("entry-1").alive()).isFalse();
        assertThat(member("entry-2").alive()).isTrue();
    }

    /** The platform's list lags: it names a VM that is no longer running, and omits one that has just started. */
    @Test
    void listedVmWithoutHeartbeatIsNotAlive() {
        List<Vm> longer = new ArrayList<>(VM_LIST);
        longer.add(vm("entry-3", VmRole.ENTRY, false));
        longer.add(vm("sidecar-1", VmRole.SIDECAR, false));
        membership.onVmList(100, longer);

        assertThat(member("entry-3").alive()).isFalse();
        assertThat(membership.liveEntries()).hasSize(3);
        assertThat(membership.sidecars()).hasSize(1);
    }

    /** Guards against traffic that grows with the fleet: one round costs a bounded number of messages at every size. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 48, 330})
    void heartbeatsAreBounded(int size) {
        List<Vm> list = IntStream.range(0, size)
                .mapToObj(index -> vm("entry-" + index, VmRole.ENTRY, false))
                .toList();
        membership.onVmList(0, list);
        list.forEach(vm -> membership.onHeartbeat(10, heartbeat(vm.name(), 5, 2, false)));

        List<String> targets = membership.heartbeatTargets(100);
        assertThat(targets).hasSize(Math.min(size - 1, 4));
        assertThat(membership.heartbeatTargets(101)).isEmpty();
        targets.forEach(target -> assertThat(membership.digest(target).size()).isAtMost(24));
    }
}
