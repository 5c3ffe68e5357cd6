package org.quetzalshunt.core.log;

import org.agrona.collections.Object2ObjectHashMap;

/**
 * Detects duplicate and outdated batches. Every reader of the log reaches the same decision for each batch.
 *
 * <p>A batch can appear at two offsets: the answer of its append is lost, the writer repeats the append, and the first
 * copy arrives late. A writer has only one batch in flight, so its sequence numbers increase along the log, and a batch
 * whose number is not above the writer's last one is a duplicate.
 *
 * <p>To bound the table, writers without recent batches are removed. A batch carries the offset up to which its writer
 * had read the log, and it is void if it is appended more than {@link #MAXIMUM_AGE_OFFSETS} offsets after that. Once a
 * writer's last batch is that far back, any remaining duplicate of its batches is void for its age, so its sequence
 * number is no longer needed.
 */
final class BatchDeduplicator {
    /** Some minutes at the log's maximum append rate, enough for about a thousand retries of an append. */
    static final long MAXIMUM_AGE_OFFSETS = 65_536;

    private static final long PRUNE_INTERVAL_OFFSETS = 4_096;

    private final Object2ObjectHashMap<String, LastBatch> lastByWriter = new Object2ObjectHashMap<>();
    private long lastPruneOffset;

    private BatchDeduplicator() {}

    static BatchDeduplicator create() {
        return new BatchDeduplicator();
    }

    /** Registers a batch. Returns false if it is void: a duplicate, too old, or based on an offset after its own. */
    boolean accept(long offset, Batch batch) {
        prune(offset);
        if (offset - batch.basedOn() > MAXIMUM_AGE_OFFSETS || batch.basedOn() > offset) {
            return false;
        }
        LastBatch last = lastByWriter.get(batch.writer());
        if (last != null && batch.sequence() <= last.sequence()) {
            return false;
        }
        lastByWriter.put(batch.writer(), new LastBatch(batch.sequence(), offset));
        return true;
    }

    int size() {
        return lastByWriter.size();
    }

    private void prune(long offset) {
        if (offset - lastPruneOffset < PRUNE_INTERVAL_OFFSETS) {
            return;
        }
        lastPruneOffset = offset;
        lastByWriter.values().removeIf(last -> offset - last.offset() > MAXIMUM_AGE_OFFSETS);
    }

    /** Keeps the offset in place of the base, which is never after it, so that no writer is removed too early. */
    private record LastBatch(long sequence, long offset) {}
}
