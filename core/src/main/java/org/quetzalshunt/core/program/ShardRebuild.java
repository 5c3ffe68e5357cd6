package org.quetzalshunt.core.program;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.log.CheckpointParts;

/**
 * Rebuilds a shard's state after retention has deleted records that were not read. Records after the gap are buffered
 * until all parts of a checkpoint that covers the gap have arrived; then those not covered by it are applied on top.
 */
final class ShardRebuild {
    /**
     * Ample for the records of one shard between two checkpoints. When it is exceeded, the buffer is dropped, and only
     * a checkpoint that covers the dropped records can end the rebuild.
     */
    private static final long MAXIMUM_BUFFERED_BYTES = 256L * 1024 * 1024;

    private final long resultRetentionMillis;
    private final CheckpointParts parts = CheckpointParts.create();
    private final List<BufferedRecord> buffered = new ArrayList<>();
    private boolean active;
    private long gapEnd;
    private long bufferedBytes;
    private long newestCoversBelow = -1;

    ShardRebuild(long resultRetentionMillis) {
        this.resultRetentionMillis = resultRetentionMillis;
    }

    void begin(long firstKept) {
        active = true;
        gapEnd = firstKept;
        clearBuffer();
    }

    void end() {
        active = false;
        clearBuffer();
    }

    boolean isActive() {
        return active;
    }

    long gapEnd() {
        return gapEnd;
    }

    long newestCoversBelow() {
        return newestCoversBelow;
    }

    void buffer(long offset, ShardRecord record, int bytes) {
        if (bufferedBytes + bytes > MAXIMUM_BUFFERED_BYTES) {
            gapEnd = offset + 1;
            clearBuffer();
            return;
        }
        bufferedBytes += bytes;
        buffered.add(new BufferedRecord(offset, record));
    }

    /** Adds a part of a checkpoint. Returns the rebuilt state if the checkpoint is now complete and covers the gap. */
    Optional<ShardState> addCheckpointPart(long offset, ShardRecord.Checkpoint checkpoint) {
        // A checkpoint can only cover offsets before its own; anything else comes from a faulty writer.
        if (checkpoint.coversBelow() > offset) {
            return Optional.empty();
        }
        Optional<byte[]> complete =
                parts.add(checkpoint.coversBelow(), checkpoint.part(), checkpoint.parts(), checkpoint.state());
        if (complete.isEmpty()) {
            return Optional.empty();
        }
        newestCoversBelow = Math.max(newestCoversBelow, checkpoint.coversBelow());
        if (!active || checkpoint.coversBelow() < gapEnd) {
            return Optional.empty();
        }
        Optional<ShardState> state = ShardCheckpointCodec.decode(complete.get(), resultRetentionMillis);
        state.ifPresent(rebuilt -> buffered.stream()
                .filter(record -> record.offset() >= checkpoint.coversBelow())
                .forEach(record -> rebuilt.apply(record.offset(), record.record())));
        return state;
    }

    private void clearBuffer() {
        buffered.clear();
        bufferedBytes = 0;
    }

    private record BufferedRecord(long offset, ShardRecord record) {}
}
