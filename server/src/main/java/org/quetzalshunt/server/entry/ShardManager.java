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
 * Runs the streams of all shards at this entry, and claims and releases shards. The membership view only proposes an
 * owner. The order of the claims in the shard's stream decides, so two entries with different views cannot both own a
 * shard in the same epoch.
 */
final class ShardManager {
    /**
     * The first heartbeat of a new owner may arrive after its claim; a claim before that would move the shard
     * needlessly.
     */
    private static final long FIRST_HEARTBEAT_GRACE_MILLIS = 3_000;

    /** Time that a candidate must be stable before it is handed a shard, so that a flapping VM does not move shards. */
    private static final long STABLE_CANDIDATE_MILLIS = 5_000;

    private final VmId self;
    private final EntryClock clock;
    private final Membership membership;
    private final JoinPeriod joinPeriod;
    private final List<ManagedShard> shards = new ArrayList<>();
    private boolean leaving;

    ShardManager(
            VmId self,
            EntryClock clock,
            Membership membership,
            JoinPeriod joinPeriod,
            int count,
            long commitIntervalMillis,
            LogTransport transport,
            ShardRecordCodec codec,
            ShardListener listener) {
        this.self = self;
        this.clock = clock;
        this.membership = membership;
        this.joinPeriod = joinPeriod;
        for (int number = 0; number < count; number++) {
            shards.add(createShard(number, commitIntervalMillis, transport, codec, listener));
        }
    }

    private ManagedShard createShard(
            int number, long interval, LogTransport transport, ShardRecordCodec codec, ShardListener listener) {
        ManagedShard managed = new ManagedShard();
        managed.shard = Shard.create(
                number,
                self,
                ShardSettings.defaults(),
                codec,
                (record, whenFolded) -> managed.session.submit(
                        clock.now(), record, submission -> whenFolded.accept(submission.isFolded())),
                listener);
        managed.session = StreamSession.create(
                "shard-" + number,
                StreamSettings.onDemand(interval, self.incarnation() + number),
                self.toString(),
                transport,
                managed.shard);
        managed.publisher = ShardCheckpointPublisher.create(
                managed.shard,
                managed.session,
                CheckpointSchedule.create(LogRetention.ASSUMED_MILLIS, self.incarnation() + number));
        return managed;
    }

    List<StreamSession> sessions() {
        return shards.stream().map(managed -> managed.session).toList();
    }

    Shard shard(int number) {
        return shards.get(number).shard;
    }

    List<Shard> all() {
        return shards.stream().map(managed -> managed.shard).toList();
    }

    /** Whether records are waiting to be appended. */
    boolean hasBacklog() {
        return shards.stream().anyMatch(managed -> managed.session.backlogRecords() > 0);
    }

    int count() {
        return shards.size();
    }

    /**
     * Name of the entry that accepts a shard's requests now; empty if no live entry owns the shard or its handover has
     * begun.
     */
    Optional<String> ownerOf(int number) {
        ManagedShard managed = shards.get(number);
        if (managed.shard.isOwned()) {
            return managed.draining ? Optional.empty() : Optional.of(self.name());
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

    /** Starts to hand over all shards. */
    void leave() {
        leaving = true;
    }

    /** Whether this entry owns no shards. */
    boolean ownsNoShard() {
        return shards.stream().noneMatch(managed -> managed.shard.isOwned());
    }

    void tick() {
        long now = clock.now();
        for (ManagedShard managed : shards) {
            managed.session.tick(now);
            managed.shard.tick(now);
            managed.publisher.tick(now);
            if (managed.shard.isOwned()) {
                tickOwned(managed, now);
            } else {
                tickNotOwned(managed, now);
            }
        }
    }

    private void tickOwned(ManagedShard managed, long now) {
        managed.vacantSinceMillis = 0;
        if (liveOwner(managed.shard.number()).isPresent()) {
            // Another entry reports that it owns the shard: this one was paused during a takeover and has not yet read
            // the claim.
            managed.session.requestReadToEnd(now);
            return;
        }
        Optional<String> candidate = membership.preferredOwner(managed.shard.number());
        boolean belongsElsewhere =
                leaving || candidate.filter(name -> !name.equals(self.name())).isPresent();
        if (!belongsElsewhere) {
            managed.misplacedSinceMillis = 0;
            managed.draining = false;
            return;
        }
        managed.misplacedSinceMillis = managed.misplacedSinceMillis == 0 ? now : managed.misplacedSinceMillis;
        managed.draining = leaving || now - managed.misplacedSinceMillis > STABLE_CANDIDATE_MILLIS;
        if (managed.draining && !managed.shard.isBusy() && !managed.decisionPending) {
            managed.decisionPending = true;
            managed.shard.release(released -> {
                managed.decisionPending = false;
                managed.draining = false;
                Logger.info("shard {} released: {}", managed.shard.number(), released);
            });
        }
    }

    private void tickNotOwned(ManagedShard managed, long now) {
        managed.misplacedSinceMillis = 0;
        int number = managed.shard.number();
        boolean isCandidate = !leaving
                && joinPeriod.isOver()
                && membership.preferredOwner(number).filter(self.name()::equals).isPresent();
        if (!isCandidate || managed.decisionPending || liveOwner(number).isPresent()) {
            managed.vacantSinceMillis = 0;
            return;
        }
        if (managed.vacantSinceMillis == 0) {
            managed.vacantSinceMillis = now;
            managed.readBeforeVacantMillis = managed.session.lastReadMillis();
            managed.session.requestReadToEnd(now);
            return;
        }
        if (!hasCaughtUpSinceVacant(managed)
                || (ownerSeemsAlive(managed) && now - managed.vacantSinceMillis < FIRST_HEARTBEAT_GRACE_MILLIS)) {
            return;
        }
        managed.decisionPending = true;
        managed.vacantSinceMillis = 0;
        managed.shard.claim(won -> {
            managed.decisionPending = false;
            Logger.info("shard {} claimed: {}, epoch {}", number, won, managed.shard.epoch());
        });
    }

    private static boolean hasCaughtUpSinceVacant(ManagedShard managed) {
        OptionalLong read = managed.session.lastReadMillis();
        return read.isPresent() && !read.equals(managed.readBeforeVacantMillis) && managed.session.isCaughtUp();
    }

    private boolean ownerSeemsAlive(ManagedShard managed) {
        return managed.shard
                .owner()
                .flatMap(owner -> membership.entry(owner.name()).filter(member -> member.id()
                        .equals(owner)))
                .filter(Member::alive)
                .isPresent();
    }

    /** One shard with its stream and the progress of its claim or release. */
    private static final class ManagedShard {
        private Shard shard;
        private StreamSession session;
        private ShardCheckpointPublisher publisher;
        private boolean decisionPending;
        private boolean draining;
        private long misplacedSinceMillis;
        private long vacantSinceMillis;
        private OptionalLong readBeforeVacantMillis = OptionalLong.empty();
    }
}
