package org.quetzalshunt.app.bench.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
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

/** Measures heartbeat traffic of each entry and the time until all entries detect that one has stopped sending. */
final class HeartbeatTraffic {
    private static final long TICK_MILLIS = 100;
    private static final long WARM_UP_MILLIS = 10_000;
    private static final long MEASURED_MILLIS = 20_000;
    private static final int FRAME_HEADER_BYTES = 4;

    private final VirtualTime time = new VirtualTime();
    private final SplittableRandom random;
    private final List<Membership> views = new ArrayList<>();
    private long messages;
    private long bytes;
    private long falselyDeadCount;
    private int silentEntry = -1;

    private HeartbeatTraffic(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /**
     * Mean heartbeat traffic of one entry.
     *
     * @param entries number of entries
     * @param messagesPerSecond heartbeats per second sent by one entry
     * @param bytesPerSecond octets per second sent by one entry
     * @param falselyDeadShare share of checks of a live entry that reported it as dead
     * @param allDetectedAfterMillis time from when an entry stops sending until all others report it as dead
     */
    record EntryMeans(
            int entries,
            double messagesPerSecond,
            double bytesPerSecond,
            double falselyDeadShare,
            long allDetectedAfterMillis) {}

    static EntryMeans measure(int entries, long seed) {
        return new HeartbeatTraffic(seed).simulate(entries);
    }

    private EntryMeans simulate(int entries) {
        List<Vm> vms = new ArrayList<>();
        for (int entry = 0; entry < entries; entry++) {
            vms.add(new Vm("entry-" + entry, VmRole.ENTRY, "10.0.0.1", entry, "moshi-a", "", false));
        }
        for (int entry = 0; entry < entries; entry++) {
            start(entry, vms);
        }
        time.advanceTo(WARM_UP_MILLIS);
        messages = 0;
        bytes = 0;
        long observations = 0;
        for (long atMillis = WARM_UP_MILLIS; atMillis < WARM_UP_MILLIS + MEASURED_MILLIS; atMillis += 1_000) {
            time.advanceTo(atMillis);
            for (Membership view : views) {
                falselyDeadCount += entries - view.liveEntries().size();
                observations += entries;
            }
        }
        double entrySeconds = entries * MEASURED_MILLIS / 1_000.0;
        double messagesPerEntry = messages / entrySeconds;
        double bytesPerEntry = bytes / entrySeconds;
        return new EntryMeans(
                entries,
                messagesPerEntry,
                bytesPerEntry,
                falselyDeadCount / (double) observations,
                detectionMillis(entries));
    }

    private long detectionMillis(int entries) {
        silentEntry = entries - 1;
        long silentSinceMillis = time.now();
        boolean detectedByAll = false;
        while (!detectedByAll && time.now() < silentSinceMillis + 30_000) {
            time.advanceTo(time.now() + TICK_MILLIS);
            detectedByAll = views.subList(0, silentEntry).stream()
                    .noneMatch(view ->
                            view.entry("entry-" + silentEntry).orElseThrow().alive());
        }
        return time.now() - silentSinceMillis;
    }

    private void start(int entry, List<Vm> vms) {
        Membership view = Membership.create(id(entry), vms.get(entry), MembershipSettings.defaults());
        view.onVmList(0, vms);
        views.add(view);
        time.runEvery(TICK_MILLIS, 1 + random.nextLong(TICK_MILLIS), () -> {
            if (entry != silentEntry) {
                view.tick(time.now());
                view.heartbeatTargets(time.now()).forEach(target -> send(view, target));
            }
        });
    }

    private static VmId id(int entry) {
        return VmId.of("entry-" + entry, 1_700_000_000_000L);
    }

    private void send(Membership view, String target) {
        MemberHeartbeat own = view.ownHeartbeat();
        List<MemberHeartbeat> digest = view.digest(target);
        messages++;
        bytes += FRAME_HEADER_BYTES + MessageCodec.encode(message(own, digest)).length;
        int receiver = Integer.parseInt(target.substring("entry-".length()));
        time.runAfter(1L + random.nextInt(2), () -> {
            if (receiver != silentEntry) {
                views.get(receiver).onHeartbeat(time.now(), own);
                views.get(receiver).onDigest(time.now(), digest);
            }
        });
    }

    private Message message(MemberHeartbeat own, List<MemberHeartbeat> digest) {
        Heartbeat heartbeat = new Heartbeat(
                own.vm(),
                own.incarnation(),
                own.configurationNext(),
                own.configurationAgeMillis(),
                own.leaving(),
                own.ownedShards(),
                time.now());
        heartbeat.setBeat(own.sequence());
        heartbeat.setDigest(digest.stream()
                .map(memberHeartbeat -> new HeartbeatWord(
                        memberHeartbeat.vm(),
                        memberHeartbeat.incarnation(),
                        memberHeartbeat.sequence(),
                        memberHeartbeat.configurationNext(),
                        memberHeartbeat.configurationAgeMillis(),
                        memberHeartbeat.leaving(),
                        memberHeartbeat.ownedShards()))
                .toList());
        return Message.heartbeat(heartbeat);
    }
}
