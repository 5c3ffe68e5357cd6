package org.quetzalshunt.core.log;

import java.util.List;

/** The one batch of a session that is on its way into the log. */
final class InFlight {
    /** How far the batch is. */
    enum State {
        /** To be appended, for the first time or again. */
        READY,
        /** An append is unanswered. */
        SENT,
        /** The answer was lost: the stream has to be read to its end before the batch may be appended again. */
        READ_BACK,
        /** The log answered with an offset that the fold has not reached. */
        LANDED
    }

    private final List<Backlog.Pending> pending;
    private Batch batch;
    private byte[] frame;
    private State state = State.READY;
    private long readBackSerial;
    private boolean answerWasLost;
    private boolean mayLieInGap;

    private InFlight(List<Backlog.Pending> pending) {
        this.pending = pending;
    }

    static InFlight create(List<Backlog.Pending> pending) {
        return new InFlight(pending);
    }

    /** Gives the batch its number; done anew only when no copy with the former number can count any more. */
    void number(String writer, long sequence, long basedOn) {
        batch = new Batch(
                writer,
                sequence,
                basedOn,
                pending.stream().map(Backlog.Pending::data).toList());
        frame = BatchFrame.encode(batch);
        answerWasLost = false;
        mayLieInGap = false;
    }

    void sent() {
        state = State.SENT;
    }

    void landed() {
        state = State.LANDED;
    }

    void ready() {
        state = State.READY;
    }

    void readBack(long serial) {
        state = State.READ_BACK;
        readBackSerial = serial;
        answerWasLost = true;
    }

    /** Nothing of the last append can have taken effect; a former append of the batch is another matter. */
    void refused() {
        state = State.READY;
        mayLieInGap = mayLieInGap && answerWasLost;
    }

    void gapPassed() {
        mayLieInGap = state != State.READY || answerWasLost;
    }

    boolean is(State other) {
        return state == other;
    }

    boolean readBackBy(long answeredSerial) {
        return state == State.READ_BACK && answeredSerial >= readBackSerial;
    }

    boolean mayLieInGap() {
        return mayLieInGap;
    }

    boolean isNumber(long sequence) {
        return batch.sequence() == sequence;
    }

    /** Whether no copy at this offset or later can count, see {@link WriterTable}. */
    boolean isVoidAt(long offset) {
        return offset - batch.basedOn() > WriterTable.HORIZON;
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
