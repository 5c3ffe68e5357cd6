package org.quetzalshunt.core.log;

/** A state machine driven by the records of one stream. It gets the same calls in the same order at every reader. */
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
     * Retention has deleted records that were not read. The state may be outdated and has to be rebuilt from the next
     * checkpoint.
     *
     * @param firstKept oldest offset still kept, at which reading continues
     */
    void onGap(long firstKept);

    /** The entry at an offset is not a valid batch and was skipped. */
    default void onMalformedEntry(long offset) {}

    /** All offsets below a position were applied or skipped. Called after the last record of each offset. */
    default void onAppliedBelow(long position) {}
}
