package org.quetzalshunt.core.log;

/**
 * A state machine that applies the records of one stream. Every reader applies the records in log order. A reader whose
 * unread records were deleted gets {@link #onGap} in place of them.
 */
public interface LogFold {
    /**
     * Applies a record. The records of a batch that is in the log twice are applied once.
     *
     * @param offset offset of the record's batch
     * @param record bytes of the record as submitted
     * @param indexInBatch index of the record in its batch, from 0
     */
    void apply(long offset, byte[] record, int indexInBatch);

    /**
     * Called when retention has deleted records that were not read. The state may be outdated and has to be rebuilt
     * from the next checkpoint.
     *
     * @param firstKept oldest retained offset, at which reading continues
     */
    void onGap(long firstKept);

    /** Called when the entry at an offset is not a valid batch and was skipped. */
    default void onMalformedEntry(long offset) {}

    /** Called after the last record of each offset, when all offsets below a position were applied or skipped. */
    default void onAppliedBelow(long position) {}
}
