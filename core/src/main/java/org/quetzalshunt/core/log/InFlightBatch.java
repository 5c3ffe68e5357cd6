package org.quetzalshunt.core.log;

import java.util.List;

/** The one batch of a session that is being appended and has not been applied yet, with the state of its append. */
final class InFlightBatch {
    /** Progress of the append. */
    enum State {
        /** The batch has to be appended, for the first time or again. */
        READY,
        /** An append was sent and has not been answered. */
        SENT,
        /**
         * The outcome of an append is unknown; the batch may be appended again only after reading the stream to its
         * end.
         */
        AWAITING_READ_BACK,
        /** The batch was appended at an offset that has not been read yet. */
        AWAITING_FOLD
    }

    private final List<Backlog.Pending> pending;
    private Batch batch;
    private byte[] frame;
    private State state = State.READY;
    private long readBackSerial;
    private boolean answerWasLost;
    private boolean mayLieInGap;

    private InFlightBatch(List<Backlog.Pending> pending) {
        this.pending = pending;
    }

    static InFlightBatch create(List<Backlog.Pending> pending) {
        return new InFlightBatch(pending);
    }

    /**
     * Assigns a sequence number and base to the batch. A new number may be assigned only if every copy with the former
     * number is void.
     */
    void assignSequence(String writer, long sequence, long basedOn) {
        batch = new Batch(
                writer,
                sequence,
                basedOn,
                pending.stream().map(Backlog.Pending::data).toList());
        frame = BatchFrame.encode(batch);
        answerWasLost = false;
        mayLieInGap = false;
    }

    void markSent() {
        state = State.SENT;
    }

    void markAppended() {
        state = State.AWAITING_FOLD;
    }

    void markReady() {
        state = State.READY;
    }

    void requireReadBack(long serial) {
        state = State.AWAITING_READ_BACK;
        readBackSerial = serial;
        answerWasLost = true;
    }

    /** The last append certainly did not take effect. An earlier one with a lost answer may have. */
    void markRejected() {
        state = State.READY;
        mayLieInGap = mayLieInGap && answerWasLost;
    }

    void onGap() {
        mayLieInGap = state != State.READY || answerWasLost;
    }

    boolean is(State expected) {
        return state == expected;
    }

    boolean isReadBackBy(long completedReadSerial) {
        return state == State.AWAITING_READ_BACK && completedReadSerial >= readBackSerial;
    }

    boolean mayLieInGap() {
        return mayLieInGap;
    }

    boolean hasSequence(long sequence) {
        return batch.sequence() == sequence;
    }

    /** Whether a copy of the batch at this offset or later is void, see {@link BatchDeduplicator}. */
    boolean isTooOldAt(long offset) {
        return offset - batch.basedOn() > BatchDeduplicator.MAXIMUM_AGE_OFFSETS;
    }

    Batch batch() {
        return batch;
    }

    byte[] frame() {
        return frame;
    }

    List<Backlog.Pending> pending() {
        return pending;
    }
}
