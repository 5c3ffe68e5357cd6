package org.quetzalshunt.core.program;

import java.util.ArrayDeque;
import java.util.Deque;
import org.quetzalshunt.core.log.CheckpointSchedule;
import org.quetzalshunt.core.log.StreamSession;

/**
 * Re-publishes an owned shard's state before retention takes the records that it came from. Parts are handed in one by
 * one, as the stream takes them, so that the end records of turns do not queue behind a large state.
 */
public final class ShardCheckpointPublisher {
    private static final int PART_BYTES = 256 * 1024;

    private final Shard shard;
    private final StreamSession session;
    private final CheckpointSchedule schedule;
    private final Deque<byte[]> waiting = new ArrayDeque<>();
    private long published;

    private ShardCheckpointPublisher(Shard shard, StreamSession session, CheckpointSchedule schedule) {
        this.shard = shard;
        this.session = session;
        this.schedule = schedule;
    }

    /** Makes a publisher; the session folds into the shard. */
    public static ShardCheckpointPublisher create(Shard shard, StreamSession session, CheckpointSchedule schedule) {
        return new ShardCheckpointPublisher(shard, session, schedule);
    }

    /** Publishes what is due. To be called beside the session's tick, never from a callback of the fold. */
    public void tick(long nowMillis) {
        if (!shard.isOwned()) {
            waiting.clear();
            return;
        }
        boolean due = schedule.due(nowMillis, shard.checkpointCoversBelow(), session.firstKept());
        if (due && waiting.isEmpty()) {
            published++;
            waiting.addAll(shard.checkpointRecords(PART_BYTES));
        }
        if (!waiting.isEmpty() && session.available() && session.backlogBytes() < PART_BYTES) {
            session.submit(nowMillis, waiting.removeFirst(), submission -> {});
        }
    }

    /** Checkpoints begun since the start. */
    public long published() {
        return published;
    }
}
