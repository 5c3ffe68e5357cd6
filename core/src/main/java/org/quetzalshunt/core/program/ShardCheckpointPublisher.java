package org.quetzalshunt.core.program;

import java.util.ArrayDeque;
import java.util.Deque;
import org.quetzalshunt.core.log.CheckpointSchedule;
import org.quetzalshunt.core.log.StreamSession;

/**
 * Publishes checkpoints of an owned shard, so that its state can be rebuilt after retention has deleted older records.
 * The next part is submitted only when the backlog is small, so that records of completed turns are not delayed by a
 * large checkpoint.
 */
public final class ShardCheckpointPublisher {
    private static final int PART_BYTES = 256 * 1024;

    private final Shard shard;
    private final StreamSession session;
    private final CheckpointSchedule schedule;
    private final Deque<byte[]> pendingParts = new ArrayDeque<>();
    private long startedCheckpoints;

    private ShardCheckpointPublisher(Shard shard, StreamSession session, CheckpointSchedule schedule) {
        this.shard = shard;
        this.session = session;
        this.schedule = schedule;
    }

    /**
     * Creates a publisher.
     *
     * @param session session that applies the shard's stream to the shard
     */
    public static ShardCheckpointPublisher create(Shard shard, StreamSession session, CheckpointSchedule schedule) {
        return new ShardCheckpointPublisher(shard, session, schedule);
    }

    /**
     * Submits the next part of a due checkpoint. Must be called periodically, but not while records are being applied.
     */
    public void tick(long nowMillis) {
        if (!shard.isOwned()) {
            pendingParts.clear();
            return;
        }
        boolean due = schedule.isDue(nowMillis, shard.checkpointCoversBelow(), session.firstKept());
        if (due && pendingParts.isEmpty()) {
            startedCheckpoints++;
            pendingParts.addAll(shard.checkpointRecords(PART_BYTES));
        }
        if (!pendingParts.isEmpty() && session.isAvailable() && session.backlogBytes() < PART_BYTES) {
            session.submit(nowMillis, pendingParts.removeFirst(), submission -> {});
        }
    }

    /** Number of checkpoints that were due. The parts of the last one may not have been submitted yet. */
    public long startedCheckpoints() {
        return startedCheckpoints;
    }
}
