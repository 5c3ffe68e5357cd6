package org.quetzalshunt.core.program;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.log.CheckpointParts;

/**
 * Brings a shard's state back after retention has dropped records unread: holds what follows the gap until a checkpoint
 * that covers the gap is whole, then applies what is held from the checkpoint's offset on.
 */
final class ShardRebuild {
    /** Records of one shard between two checkpoints, with room; more is dropped, and the next checkpoint awaited. */
    private static final long MAXIMUM_HELD_BYTES = 256L * 1024 * 1024;

    private final long resultMillis;
    private final CheckpointParts parts = CheckpointParts.create();
    private final List<Held> held = new ArrayList<>();
    private boolean active;
    private long gapEnd;
    private long heldBytes;
    private long newestCoversBelow = -1;

    ShardRebuild(long resultMillis) {
        this.resultMillis = resultMillis;
    }

    void begin(long firstKept) {
        active = true;
        gapEnd = firstKept;
        clearHeld();
    }

    void end() {
        active = false;
        clearHeld();
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

    void hold(long offset, ShardRecord record, int bytes) {
        if (heldBytes + bytes > MAXIMUM_HELD_BYTES) {
            gapEnd = offset + 1;
            clearHeld();
            return;
        }
        heldBytes += bytes;
        held.add(new Held(offset, record));
    }

    /** Takes a part of a checkpoint; gives the state when it is whole and the rebuild was waiting for it. */
    Optional<ShardState> take(long offset, ShardRecord.Checkpoint checkpoint) {
        // A checkpoint speaks of what lies before it; one that covers its own place comes from a broken writer.
        if (checkpoint.coversBelow() > offset) {
            return Optional.empty();
        }
        Optional<byte[]> whole =
                parts.add(checkpoint.coversBelow(), checkpoint.part(), checkpoint.parts(), checkpoint.state());
        if (whole.isEmpty()) {
            return Optional.empty();
        }
        newestCoversBelow = Math.max(newestCoversBelow, checkpoint.coversBelow());
        if (!active || checkpoint.coversBelow() < gapEnd) {
            return Optional.empty();
        }
        Optional<ShardState> state = ShardCheckpointForm.decode(whole.get(), resultMillis);
        state.ifPresent(restored -> held.stream()
                .filter(record -> record.offset() >= checkpoint.coversBelow())
                .forEach(record -> restored.apply(record.offset(), record.record())));
        return state;
    }

    private void clearHeld() {
        held.clear();
        heldBytes = 0;
    }

    private record Held(long offset, ShardRecord record) {}
}
