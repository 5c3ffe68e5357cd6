package org.quetzalshunt.core.log;

/** Where the records of one stream are folded. The same calls in the same order reach the fold at every reader. */
public interface LogFold {
    /**
     * Takes a record. A batch that the log holds twice is applied once.
     *
     * @param offset offset of the batch that brought the record
     * @param record octets as they were submitted
     * @param indexInBatch place of the record in its batch, from 0
     */
    void apply(long offset, byte[] record, int indexInBatch);

    /**
     * Retention has passed over this reader: records were dropped unseen, so that what was folded up to now may be
     * outdated and has to be rebuilt from the next checkpoint.
     *
     * @param firstKept oldest offset still kept, from which reading goes on
     */
    void gap(long firstKept);

    /** Octets that are no batch stood at an offset; they were skipped. */
    default void malformed(long offset) {}

    /** Everything below a position was folded or skipped; comes after the last record of each offset. */
    default void foldedBelow(long position) {}
}
