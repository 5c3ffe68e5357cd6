package org.quetzalshunt.app.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.core.membership.MemberHeartbeat;
import org.quetzalshunt.core.membership.Membership;
import org.quetzalshunt.core.membership.MembershipSettings;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.wire.generated.Heartbeat;
import org.quetzalshunt.wire.generated.HeartbeatWord;
import org.quetzalshunt.wire.generated.Message;
import org.quetzalshunt.wire.message.MessageCodec;

/** Measures the heartbeat octets and membership time of one entry by the number of entries, in virtual time. */
final class MembershipCosts {
    private static final int DURATION_SECONDS = 10;
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int STEP_MILLIS = 100;
    private static final long SHARDS = 16;

    private MembershipCosts() {}

    /** Octets of heartbeats that one entry sends per second. */
    static ScalingSeries octetsByEntries(List<Integer> sizes) {
        List<ScalingSeries.Point> points = new ArrayList<>();
        sizes.forEach(
                size -> points.add(new ScalingSeries.Point(size, simulate(size).octets / (double) DURATION_SECONDS)));
        return new ScalingSeries("heartbeats sent by one entry", "entries", "octetsPerSecond", points);
    }

    /** Processor time that one entry spends on membership per second. */
    static ScalingSeries timeByEntries(List<Integer> sizes) {
        List<ScalingSeries.Point> points = new ArrayList<>();
        sizes.forEach(MembershipCosts::simulate);
        sizes.forEach(
                size -> points.add(new ScalingSeries.Point(size, simulate(size).micros / (double) DURATION_SECONDS)));
        return new ScalingSeries("membership at one entry", "entries", "microsecondsPerSecond", points);
    }

    private static Cost simulate(int entries) {
        List<Vm> vms = new ArrayList<>();
        for (int number = 0; number < entries; number++) {
            vms.add(new Vm("entry-" + number, VmRole.ENTRY, "127.0.0.1", 1, "a", "", false));
        }
        Membership membership = Membership.create(VmId.of("entry-0", 1), vms.get(0), MembershipSettings.defaults());
        membership.onVmList(0, vms);
        Cost cost = new Cost();
        long startNanos = System.nanoTime();
        for (long now = 0; now < (long) DURATION_SECONDS * MILLIS_PER_SECOND; now += STEP_MILLIS) {
            receiveHeartbeats(membership, now, entries);
            membership.tick(now);
            for (String target : membership.heartbeatTargets(now)) {
                cost.octets += MessageCodec.encode(heartbeat(membership, target)).length + Integer.BYTES;
            }
        }
        cost.micros = (System.nanoTime() - startNanos) / 1_000;
        return cost;
    }

    /** Delivers one heartbeat per second from each other entry, as a gossip round would. */
    private static void receiveHeartbeats(Membership membership, long now, int entries) {
        long step = now / STEP_MILLIS;
        for (int number = 1; number < entries; number++) {
            if (number % 10 == step % 10) {
                membership.onHeartbeat(
                        now, new MemberHeartbeat("entry-" + number, 1, step + 1, 5, 10, false, List.of(number)));
            }
        }
    }

    private static Message heartbeat(Membership membership, String target) {
        Heartbeat heartbeat = new Heartbeat("entry-0", 1, 5, 10, false, shards(), 1_000_000_000_000L);
        heartbeat.setEchoedSentMillis(1_000_000_000_000L);
        for (MemberHeartbeat memberHeartbeat : membership.digest(target)) {
            heartbeat.addToDigest(new HeartbeatWord(
                    memberHeartbeat.vm(),
                    memberHeartbeat.incarnation(),
                    memberHeartbeat.sequence(),
                    memberHeartbeat.configurationNext(),
                    memberHeartbeat.configurationAgeMillis(),
                    memberHeartbeat.leaving(),
                    memberHeartbeat.ownedShards()));
        }
        return Message.heartbeat(heartbeat);
    }

    private static List<Integer> shards() {
        List<Integer> shards = new ArrayList<>();
        for (int number = 0; number < SHARDS; number++) {
            shards.add(number);
        }
        return shards;
    }

    private static final class Cost {
        private long octets;
        private long micros;
    }
}
