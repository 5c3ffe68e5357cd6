package org.quetzalshunt.server.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.quetzalshunt.core.log.CheckpointSchedule;
import org.quetzalshunt.core.log.LogTransport;
import org.quetzalshunt.core.log.StreamSession;
import org.quetzalshunt.core.log.StreamSettings;
import org.quetzalshunt.core.membership.Member;
import org.quetzalshunt.core.membership.Membership;
import org.quetzalshunt.core.program.Shard;
import org.quetzalshunt.core.program.ShardCheckpointPublisher;
import org.quetzalshunt.core.program.ShardListener;
import org.quetzalshunt.core.program.ShardRecordCodec;
import org.quetzalshunt.core.program.ShardSettings;
import org.quetzalshunt.core.vm.VmId;
import org.tinylog.Logger;

/**
 * All shards at this entry: their streams, and who should own them. The view of the VMs only proposes an owner; the
 * claim's place in the stream decides, so two entries with different views can't both own a shard in one epoch.
 */
final class ShardHost {
    /** A new owner's first heartbeat may lag its claim; claiming over a live owner would only move work about. */
    private static final long SILENT_OWNER_MILLIS = 3_000;

    /** A candidate must stay the candidate this long before a shard is handed to it, or a flapping VM moves shards. */
    private static final long STABLE_MILLIS = 5_000;

    private final VmId self;
    private final EntryClock clock;
    private final Membership membership;
    private final Joining joining;
    private final List<HostedShard> shards = new ArrayList<>();
    private boolean leaving;

    ShardHost(
            VmId self,
            EntryClock clock,
            Membership membership,
            Joining joining,
            int count,
            long commitIntervalMillis,
            LogTransport transport,
            ShardRecordCodec codec,
            ShardListener listener) {
        this.self = self;
        this.clock = clock;
        this.membership = membership;
        this.joining = joining;
        for (int number = 0; number < count; number++) {
            shards.add(host(number, commitIntervalMillis, transport, codec, listener));
        }
    }

    private HostedShard host(
            int number, long interval, LogTransport transport, ShardRecordCodec codec, ShardListener listener) {
        HostedShard hosted = new HostedShard();
        hosted.shard = Shard.create(
                number,
                self,
                ShardSettings.defaults(),
                codec,
                (record, whenFolded) -> hosted.session.submit(
                        clock.now(), record, submission -> whenFolded.accept(submission.isFolded())),
                listener);
        hosted.session = StreamSession.create(
                "shard-" + number,
                StreamSettings.onDemand(interval, self.incarnation() + number),
                self.toString(),
                transport,
                hosted.shard);
        hosted.publisher = ShardCheckpointPublisher.create(
                hosted.shard,
                hosted.session,
                CheckpointSchedule.create(LogRetention.MILLIS, self.incarnation() + number));
        return hosted;
    }

    List<StreamSession> sessions() {
        return shards.stream().map(hosted -> hosted.session).toList();
    }

    Shard shard(int number) {
        return shards.get(number).shard;
    }

    List<Shard> all() {
        return shards.stream().map(hosted -> hosted.shard).toList();
    }

    /** Whether records wait to be appended. */
    boolean hasBacklog() {
        return shards.stream().anyMatch(hosted -> hosted.session.backlog() > 0);
    }

    int count() {
        return shards.size();
    }

    /** Name of the entry that takes a shard's requests now; empty between two owners. */
    Optional<String> ownerOf(int number) {
        HostedShard hosted = shards.get(number);
        if (hosted.shard.isOwned()) {
            return hosted.draining ? Optional.empty() : Optional.of(self.name());
        }
        return liveOwner(number).map(member -> member.id().name());
    }

    List<Integer> ownedNumbers() {
        return all().stream().filter(Shard::isOwned).map(Shard::number).toList();
    }

    private Optional<Member> liveOwner(int number) {
        return membership.liveEntries().stream()
                .filter(member -> !member.id().equals(self))
                .filter(member -> member.ownedShards().contains(number))
                .findFirst();
    }

    /** Starts to hand every shard over. */
    void leave() {
        leaving = true;
    }

    /** Whether nothing is owned or under way here any more. */
    boolean isEmpty() {
        return shards.stream().noneMatch(hosted -> hosted.shard.isOwned());
    }

    void tick() {
        long now = clock.now();
        for (HostedShard hosted : shards) {
            hosted.session.tick(now);
            hosted.shard.tick(now);
            hosted.publisher.tick(now);
            if (hosted.shard.isOwned()) {
                tickOwned(hosted, now);
            } else {
                tickForeign(hosted, now);
            }
        }
    }

    private void tickOwned(HostedShard hosted, long now) {
        hosted.unownedSince = 0;
        if (liveOwner(hosted.shard.number()).isPresent()) {
            // Another entry says that it owns the shard: this one was paused over a takeover and has not read of it.
            hosted.session.follow(now);
            return;
        }
        Optional<String> candidate = membership.candidate(hosted.shard.number());
        boolean elsewhere =
                leaving || candidate.filter(name -> !name.equals(self.name())).isPresent();
        if (!elsewhere) {
            hosted.misplacedSince = 0;
            hosted.draining = false;
            return;
        }
        hosted.misplacedSince = hosted.misplacedSince == 0 ? now : hosted.misplacedSince;
        hosted.draining = leaving || now - hosted.misplacedSince > STABLE_MILLIS;
        if (hosted.draining && !hosted.shard.isBusy() && !hosted.deciding) {
            hosted.deciding = true;
            hosted.shard.release(released -> {
                hosted.deciding = false;
                hosted.draining = false;
                Logger.info("shard {} released: {}", hosted.shard.number(), released);
            });
        }
    }

    private void tickForeign(HostedShard hosted, long now) {
        hosted.misplacedSince = 0;
        int number = hosted.shard.number();
        boolean mine = !leaving
                && joining.isOver()
                && membership.candidate(number).filter(self.name()::equals).isPresent();
        if (!mine || hosted.deciding || liveOwner(number).isPresent()) {
            hosted.unownedSince = 0;
            return;
        }
        if (hosted.unownedSince == 0) {
            hosted.unownedSince = now;
            hosted.readBefore = hosted.session.lastReadMillis();
            hosted.session.follow(now);
            return;
        }
        if (!caughtUpSince(hosted) || (ownerSeemsAlive(hosted) && now - hosted.unownedSince < SILENT_OWNER_MILLIS)) {
            return;
        }
        hosted.deciding = true;
        hosted.unownedSince = 0;
        hosted.shard.claim(won -> {
            hosted.deciding = false;
            Logger.info("shard {} claimed: {}, epoch {}", number, won, hosted.shard.epoch());
        });
    }

    private static boolean caughtUpSince(HostedShard hosted) {
        OptionalLong read = hosted.session.lastReadMillis();
        return read.isPresent() && !read.equals(hosted.readBefore) && hosted.session.caughtUp();
    }

    private boolean ownerSeemsAlive(HostedShard hosted) {
        return hosted.shard
                .owner()
                .flatMap(owner -> membership.entry(owner.name()).filter(member -> member.id()
                        .equals(owner)))
                .filter(Member::alive)
                .isPresent();
    }

    /** One shard with its stream. */
    private static final class HostedShard {
        private Shard shard;
        private StreamSession session;
        private ShardCheckpointPublisher publisher;
        private boolean deciding;
        private boolean draining;
        private long misplacedSince;
        private long unownedSince;
        private OptionalLong readBefore = OptionalLong.empty();
    }
}
