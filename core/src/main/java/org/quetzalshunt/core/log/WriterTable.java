package org.quetzalshunt.core.log;

import org.agrona.collections.Object2ObjectHashMap;

/**
 * Decides whether a batch counts, the same at every reader.
 *
 * <p>Guards against an append that takes effect twice: its answer is lost, the writer repeats it, and the first copy
 * arrives late. The batch would show at two offsets. A writer has one batch in flight, so its sequence numbers rise
 * along the log, and a number that is not above the last one is such a copy.
 *
 * <p>The table must not grow with every process that ever lived. A batch names the fold position on which it was
 * made, and is void when it stands more than {@link #HORIZON} offsets beyond that. So a writer whose last batch is
 * that far back can be forgotten: no copy of any batch of its past can count any more.
 */
final class WriterTable {
    /** In offsets: minutes at the log's highest rate. A batch this late has been overtaken by a thousand retries. */
    static final long HORIZON = 65_536;

    private static final long PRUNE_EVERY = 4_096;

    private final Object2ObjectHashMap<String, LastBatch> lastByWriter = new Object2ObjectHashMap<>();
    private long prunedAt;

    private WriterTable() {}

    static WriterTable create() {
        return new WriterTable();
    }

    /** Takes note of a batch; false when it is a copy of one that counted, or came too late to count. */
    boolean admit(long offset, Batch batch) {
        prune(offset);
        if (offset - batch.basedOn() > HORIZON || batch.basedOn() > offset) {
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
        if (offset - prunedAt < PRUNE_EVERY) {
            return;
        }
        prunedAt = offset;
        lastByWriter.values().removeIf(last -> offset - last.offset() > HORIZON);
    }

    /** The base of a batch is at or before its offset, so the offset is a safe stand-in for it. */
    private record LastBatch(long sequence, long offset) {}
}
