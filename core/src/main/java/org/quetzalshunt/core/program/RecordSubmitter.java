package org.quetzalshunt.core.program;

/** Appends a record to the shard's stream. */
@FunctionalInterface
public interface RecordSubmitter {
    /**
     * Submits a record. The callback runs exactly once: after the record has been applied, or when the submission
     * has failed.
     *
     * @param whenFolded called with true when the record is in the stream, valid or void, and with false when it was
     *     rejected or its outcome is unknown
     */
    void submit(byte[] record, java.util.function.Consumer<Boolean> whenFolded);
}
