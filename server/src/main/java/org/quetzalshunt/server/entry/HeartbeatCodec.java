package org.quetzalshunt.server.entry;

import java.util.List;
import org.quetzalshunt.core.membership.MemberHeartbeat;
import org.quetzalshunt.wire.generated.Heartbeat;
import org.quetzalshunt.wire.generated.HeartbeatWord;

/** Converts heartbeats to and from Thrift: a VM's own state, with a digest of the states of other VMs. */
final class HeartbeatCodec {
    private HeartbeatCodec() {}

    static Heartbeat encode(MemberHeartbeat own, List<MemberHeartbeat> digest, long sentMillis) {
        Heartbeat heartbeat = new Heartbeat(
                own.vm(),
                own.incarnation(),
                own.configurationNext(),
                own.configurationAgeMillis(),
                own.leaving(),
                own.ownedShards(),
                sentMillis);
        heartbeat.setBeat(own.sequence());
        heartbeat.setDigest(
                digest.stream().map(HeartbeatCodec::encodeDigestEntry).toList());
        return heartbeat;
    }

    private static HeartbeatWord encodeDigestEntry(MemberHeartbeat memberHeartbeat) {
        return new HeartbeatWord(
                memberHeartbeat.vm(),
                memberHeartbeat.incarnation(),
                memberHeartbeat.sequence(),
                memberHeartbeat.configurationNext(),
                memberHeartbeat.configurationAgeMillis(),
                memberHeartbeat.leaving(),
                memberHeartbeat.ownedShards());
    }

    /** The sender's own state. Name and incarnation are passed in, as authenticated by the link. */
    static MemberHeartbeat decodeOwn(String vm, long incarnation, Heartbeat heartbeat) {
        return new MemberHeartbeat(
                vm,
                incarnation,
                heartbeat.getBeat(),
                heartbeat.getConfigurationNext(),
                heartbeat.getConfigurationAgeMillis(),
                heartbeat.isLeaving(),
                heartbeat.getOwnedShards() == null ? List.of() : heartbeat.getOwnedShards());
    }

    static List<MemberHeartbeat> decodeDigest(Heartbeat heartbeat) {
        if (heartbeat.getDigest() == null) {
            return List.of();
        }
        return heartbeat.getDigest().stream()
                .filter(word -> word.getVm() != null)
                .map(word -> new MemberHeartbeat(
                        word.getVm(),
                        word.getIncarnation(),
                        word.getBeat(),
                        word.getConfigurationNext(),
                        word.getConfigurationAgeMillis(),
                        word.isLeaving(),
                        word.getOwnedShards() == null ? List.of() : word.getOwnedShards()))
                .toList();
    }
}
