package org.quetzalshunt.core.quota;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class PeerTableTest {
    private static final LeaseTerm TERM = new LeaseTerm(1, 1);

    private final PeerTable table = PeerTable.create("self");

    private static VmHeartbeat heartbeat(long incarnation, long epoch, long sequence, boolean stopping) {
        return new VmHeartbeat(incarnation, epoch, sequence, "10.0.0.1:1", stopping);
    }

    private void receiveHeartbeat(long now, long sequence) {
        table.onHeartbeat(now, "peer", heartbeat(1, 1, sequence, false));
        table.onReadComplete(now);
    }

    private void completeReads(long intervalMillis, long from, long until) {
        for (long now = from; now <= until; now += intervalMillis) {
            table.onReadComplete(now);
        }
    }

    /**
     * Guards against a fleet whose VMs drop each other as members in an outage of the store, and with that their links
     * and the ownership of quotas.
     */
    @ParameterizedTest
    @ValueSource(longs = {7_000, 25_000, 600_000})
    void membersOutliveAnOutage(long outageMillis) {
        receiveHeartbeat(1_000, 1);
        table.onReadComplete(1_000 + outageMillis);
        assertThat(table.members()).containsKey("peer");
        assertThat(table.mayBeInForce(1_000 + outageMillis, "peer", TERM))
                .isEqualTo(outageMillis < PeerTable.LEASE_OBSERVATION_MILLIS);
    }

    /** Guards against a dead VM that stays a member for a VM that reads heartbeats slowly. */
    @ParameterizedTest
    @ValueSource(longs = {200, 1_000, 2_000, 3_000})
    void deadPeerLeavesAtAnyReadInterval(long intervalMillis) {
        receiveHeartbeat(1_000, 1);
        completeReads(intervalMillis, 1_000 + intervalMillis, 20_000);
        assertThat(table.members()).isEmpty();
        assertThat(table.mayBeInForce(20_000, "peer", TERM)).isFalse();
    }

    @Test
    void livePeerStaysAMember() {
        for (int sequence = 1; sequence < 20; sequence++) {
            receiveHeartbeat(2_000L * sequence, sequence);
        }
        assertThat(table.members()).containsKey("peer");
    }

    @Test
    void stoppingPeerLeavesAtOnce() {
        receiveHeartbeat(1_000, 1);
        table.onHeartbeat(1_100, "peer", heartbeat(1, 2, 2, true));
        table.onReadComplete(1_100);
        assertThat(table.members()).isEmpty();
        assertThat(table.mayBeInForce(1_100, "peer", TERM)).isFalse();
    }

    /** Guards against a late heartbeat of a former process that makes the new process look stopped. */
    @Test
    void lateHeartbeatOfAFormerProcessIsIgnored() {
        table.onHeartbeat(1_000, "peer", heartbeat(2, 1, 1, false));
        table.onHeartbeat(1_100, "peer", heartbeat(1, 9, 9, true));
        table.onReadComplete(1_100);
        assertThat(table.members().get("peer").incarnation()).isEqualTo(2);
        assertThat(table.mayBeInForce(1_100, "peer", new LeaseTerm(1, 9))).isFalse();
    }

    /** Guards against a share that is taken over because the first heartbeat of its holder's term was not read yet. */
    @Test
    void unknownTermMayBeInForceForAWhile() {
        assertThat(table.mayBeInForce(1_000, "peer", TERM)).isTrue();
        assertThat(table.mayBeInForce(8_400, "peer", TERM)).isTrue();
        assertThat(table.mayBeInForce(8_500, "peer", TERM)).isFalse();
    }

    /**
     * Guards against an old heartbeat that was stored late and hides newer ones in a read of the newest records only.
     */
    @Test
    void snapshotRenewsEveryKnownLease() {
        receiveHeartbeat(1_000, 1);
        table.onSnapshot(8_000);
        table.onReadComplete(9_000);
        assertThat(table.mayBeInForce(9_000, "peer", TERM)).isTrue();
    }
}
