package org.quetzalshunt.core.log;

/** What became of a submitted record. */
public sealed interface Submission {
    /** The record is durable and was folded at this offset. Whether it was valid there is the fold's to say. */
    record Folded(long offset) implements Submission {}

    /** The backlog is full; the record was not taken and will never be in the log. */
    record RejectedBacklogFull() implements Submission {}

    /** No batch can hold the record; it was not taken and will never be in the log. */
    record RejectedTooLarge() implements Submission {}

    /**
     * Retention passed over the reader while the record's append was unanswered: the record may or may not have been
     * in the log. Said only after an outage or pause longer than the log's retention.
     */
    record Unresolved() implements Submission {}

    /** The record was folded. */
    static Submission folded(long offset) {
        return new Folded(offset);
    }

    /** The record was refused because too many are waiting. */
    static Submission rejectedBacklogFull() {
        return new RejectedBacklogFull();
    }

    /** The record was refused because of its size. */
    static Submission rejectedTooLarge() {
        return new RejectedTooLarge();
    }

    /** Nobody can tell any more. */
    static Submission unresolved() {
        return new Unresolved();
    }

    /** Whether the record is durable. */
    default boolean isFolded() {
        return this instanceof Folded;
    }
}
