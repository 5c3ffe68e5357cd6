package org.quetzalshunt.core.log;

/** The outcome of a submitted record. */
public sealed interface Submission {
    /** The record is durable and was applied at this offset. The state machine decides whether it was valid there. */
    record Folded(long offset) implements Submission {}

    /** The backlog is full. The record was rejected and will never be in the log. */
    record RejectedBacklogFull() implements Submission {}

    /** The record does not fit into a batch. It was rejected and will never be in the log. */
    record RejectedTooLarge() implements Submission {}

    /**
     * The record may or may not have been in the log: retention deleted the offsets at which its unanswered append
     * could have taken effect. Happens only after an outage or pause longer than the log's retention.
     */
    record Unresolved() implements Submission {}

    /** The record was applied. */
    static Submission folded(long offset) {
        return new Folded(offset);
    }

    /** The record was rejected because the backlog is full. */
    static Submission rejectedBacklogFull() {
        return new RejectedBacklogFull();
    }

    /** The record was rejected because it is too large for a batch. */
    static Submission rejectedTooLarge() {
        return new RejectedTooLarge();
    }

    /** The outcome can no longer be determined. */
    static Submission unresolved() {
        return new Unresolved();
    }

    /** Whether the record is durable. */
    default boolean isFolded() {
        return this instanceof Folded;
    }
}
