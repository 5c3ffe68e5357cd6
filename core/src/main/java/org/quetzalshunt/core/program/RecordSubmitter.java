package org.quetzalshunt.core.program;

/** Appends a record to the shard's stream. */
@FunctionalInterface
public interface RecordSubmitter {
    /**
     * Submits a record; the callback runs once, after the fold passed the record, or when it was given up.
     *
     * @param whenFolded true when the record is in the stream, valid or void; false when it was never taken
     */
    void submit(byte[] record, java.util.function.Consumer<Boolean> whenFolded);
}
