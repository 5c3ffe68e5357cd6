package org.quetzalshunt.app.bench.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.quetzalshunt.core.membership.HeartbeatNews;
import org.quetzalshunt.core.membership.Membership;
import org.quetzalshunt.core.membership.MembershipSettings;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.wire.generated.Heartbeat;
import org.quetzalshunt.wire.generated.HeartbeatWord;
import org.quetzalshunt.wire.generated.Message;
import org.quetzalshunt.wire.message.MessageCodec;

/** What heartbeats cost each entry, and how soon all know of a silent one. */
final class HeartbeatTraffic {
    private static final long TICK_MILLIS = 100;
    private static final long WARM_MILLIS = 10_000;
    private static final long MEASURED_MILLIS = 20_000;
    private static final int FRAME_BYTES = 4;

    private final VirtualTime time = new VirtualTime();
    private final SplittableRandom random;
    private final List<Membership> views = new ArrayList<>();
    private long messages;
    private long bytes;
    private long falselyDead;
    private int silent = -1;

    private HeartbeatTraffic(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /**
     * Means of one entry.
     *
     * @param entries entries
     * @param messagesPerSecond heartbeats sent by one entry
     * @param bytesPerSecond octets sent by one entry
     * @param falselyDeadShare share of looks at a live entry that found it dead
     * @param lastKnowsAfterMillis time from a silence until the last entry knows of it
     */
    record Means(
            int entries,
            double messagesPerSecond,
            double bytesPerSecond,
            double falselyDeadShare,
            long lastKnowsAfterMillis) {}

    static Means measure(int entries, long seed) {
        return new HeartbeatTraffic(seed).play(entries);
    }

    private Means play(int entries) {
        List<Vm> list = new ArrayList<>();
        for (int entry = 0; entry < entries; entry++) {
            list.add(new Vm("entry-" + entry, VmRole.ENTRY, "10.0.0.1", entry, "moshi-a", "", false));
        }
        for (int entry = 0; entry < entries; entry++) {
            start(entry, list);
        }
        time.run(WARM_MILLIS);
        messages = 0;
        bytes = 0;
        long looks = 0;
        for (long at = WARM_MILLIS; at < WARM_MILLIS + MEASURED_MILLIS; at += 1_000) {
            time.run(at);
            for (Membership view : views) {
                falselyDead += entries - view.liveEntries().size();
                looks += entries;
            }
        }
        double entrySeconds = entries * MEASURED_MILLIS / 1_000.0;
        double messagesEach = messages / entrySeconds;
        double bytesEach = bytes / entrySeconds;
        return new Means(entries, messagesEach, bytesEach, falselyDead / (double) looks, lastKnows(entries));
    }

    private long lastKnows(int entries) {
        silent = entries - 1;
        long struck = time.now();
        boolean known = false;
        while (!known && time.now() < struck + 30_000) {
            time.run(time.now() + TICK_MILLIS);
            known = views.subList(0, silent).stream()
                    .noneMatch(
                            view -> view.entry("entry-" + silent).orElseThrow().alive());
        }
        return time.now() - struck;
    }

    private void start(int entry, List<Vm> list) {
        Membership view = Membership.create(id(entry), list.get(entry), MembershipSettings.defaults());
        view.onVmList(0, list);
        views.add(view);
        time.every(TICK_MILLIS, 1 + random.nextLong(TICK_MILLIS), () -> {
            if (entry != silent) {
                view.tick(time.now());
                view.heartbeatTargets(time.now()).forEach(target -> send(view, target));
            }
        });
    }

    private static VmId id(int entry) {
        return VmId.of("entry-" + entry, 1_700_000_000_000L);
    }

    private void send(Membership view, String target) {
        HeartbeatNews own = view.ownNews();
        List<HeartbeatNews> digest = view.digest(target);
        messages++;
        bytes += FRAME_BYTES + MessageCodec.encode(message(own, digest)).length;
        int receiver = Integer.parseInt(target.substring("entry-".length()));
        time.after(1L + random.nextInt(2), () -> {
            if (receiver != silent) {
                views.get(receiver).onHeartbeat(time.now(), own);
                views.get(receiver).onDigest(time.now(), digest);
            }
        });
    }

    private Message message(HeartbeatNews own, List<HeartbeatNews> digest) {
        Heartbeat heartbeat = new Heartbeat(
                own.vm(),
                own.incarnation(),
                own.configurationNext(),
                own.configurationAgeMillis(),
                own.leaving(),
                own.ownedShards(),
                time.now());
        heartbeat.setBeat(own.beat());
        heartbeat.setDigest(digest.stream()
                .map(news -> new HeartbeatWord(
                        news.vm(),
                        news.incarnation(),
                        news.beat(),
                        news.configurationNext(),
                        news.configurationAgeMillis(),
                        news.leaving(),
                        news.ownedShards()))
                .toList());
        return Message.heartbeat(heartbeat);
    }
}
