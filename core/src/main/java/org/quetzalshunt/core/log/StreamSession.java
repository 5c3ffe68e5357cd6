package org.quetzalshunt.core.log;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * One stream at one process: folds its records in the order of the log, appends records in groups, and finds out what
 * became of an append whose answer was lost. Used by one thread; the host calls {@link #tick} every few milliseconds
 * and passes the transport's answers on.
 *
 * <p>At most one append and one read are under way. When an append's offset is the fold position, the batch is folded
 * at once, without reading it back; otherwise what lies before it is read first.
 */
public final class StreamSession {
    private final String stream;
    private final StreamSettings settings;
    private final String writer;
    private final LogTransport transport;
    private final LogFold fold;
    private final WriterTable writers = WriterTable.create();
    private final Backlog backlog;
    private final Backoff appendBackoff;
    private final Backoff readBackoff;

    private long commitIntervalMillis;
    private long next;
    private long firstKept;
    private long sequence;
    private InFlight inFlight;
    private boolean appendUnanswered;
    private long appendStartedMillis;
    private boolean everAppended;

    private boolean readUnanswered;
    private long readFrom;
    private long readStartedMillis;
    /** Reads to the end that were asked for; a read counts for those asked for before it started. */
    private long wantedSerial = 1;

    private long startedSerial;
    private long answeredSerial;
    private boolean everRead;
    private long lastReadMillis;

    private boolean folding;
    private boolean pumping;
    private boolean pumpAgain;

    private StreamSession(String stream, StreamSettings settings, String writer, LogTransport transport, LogFold fold) {
        this.stream = stream;
        this.settings = settings;
        this.writer = writer;
        this.transport = transport;
        this.fold = fold;
        this.backlog = Backlog.create(settings);
        this.appendBackoff = Backoff.create(settings.seed());
        this.readBackoff = Backoff.create(settings.seed() + 1);
        this.commitIntervalMillis = settings.commitIntervalMillis();
    }

    /**
     * Makes a session at offset 0; it starts to read with the first tick.
     *
     * @param writerId name of this process's life, never used by another
     */
    public static StreamSession create(
            String stream, StreamSettings settings, String writerId, LogTransport transport, LogFold fold) {
        return new StreamSession(stream, settings, writerId, transport, fold);
    }

    /** Name of the stream. */
    public String stream() {
        return stream;
    }

    /**
     * Hands a record in.
     *
     * @param whenFolded called once, right after the record was folded, or at once when it is refused
     */
    public void submit(long nowMillis, byte[] record, Consumer<Submission> whenFolded) {
        if (BatchFrame.recordBytes(record) > roomInBatch()) {
            whenFolded.accept(Submission.rejectedTooLarge());
            return;
        }
        if (!backlog.offer(new Backlog.Pending(record, whenFolded))) {
            whenFolded.accept(Submission.rejectedBacklogFull());
            return;
        }
        pump(nowMillis);
    }

    /** The append under way took effect at an offset. */
    public void onAppended(long nowMillis, long offset) {
        appendUnanswered = false;
        appendBackoff.succeeded();
        if (inFlight != null && inFlight.is(InFlight.State.SENT)) {
            settleAppended(offset);
        }
        pump(nowMillis);
    }

    /**
     * The append under way got no good answer.
     *
     * @param mayHaveTakenEffect false only when it certainly is not in the log and will not be
     */
    public void onAppendFailed(long nowMillis, boolean mayHaveTakenEffect) {
        appendUnanswered = false;
        appendBackoff.failed(nowMillis);
        if (inFlight == null || !inFlight.is(InFlight.State.SENT)) {
            return;
        }
        if (mayHaveTakenEffect) {
            // A read that is under way may have been answered before the append took effect: only one that starts
            // from now on proves that the batch is missing.
            inFlight.readBack(++wantedSerial);
        } else {
            inFlight.refused();
            giveUpIfInGap();
        }
        pump(nowMillis);
    }

    /** The read under way was answered. */
    public void onRead(long nowMillis, ReadAnswer answer) {
        if (answer.next() < readFrom) {
            // The log ends before a record that it gave out: it lost records, and nothing it says is current.
            onReadFailed(nowMillis);
            return;
        }
        readUnanswered = false;
        readBackoff.succeeded();
        firstKept = Math.max(firstKept, answer.first());
        if (answer.first() > next) {
            passGap(answer.first());
        }
        foldEntries(answer.entries());
        if (next >= answer.next()) {
            everRead = true;
            answeredSerial = startedSerial;
            // When the read started, not when it was answered: that is when its news was surely current.
            lastReadMillis = readStartedMillis;
        }
        settleReadBack();
        pump(nowMillis);
    }

    /** The read under way got no good answer. */
    public void onReadFailed(long nowMillis) {
        readUnanswered = false;
        readBackoff.failed(nowMillis);
    }

    /** Starts what is due. */
    public void tick(long nowMillis) {
        pump(nowMillis);
    }

    /** Asks for one read to the end that starts from now on; {@link #caughtUp} says when it is done. */
    public void follow(long nowMillis) {
        wantedSerial++;
        pump(nowMillis);
    }

    /** Whether the stream was read to its end since the start and since the last {@link #follow}. */
    public boolean caughtUp() {
        return answeredSerial >= wantedSerial;
    }

    /** Offset that is folded next. */
    public long next() {
        return next;
    }

    /** Oldest offset that the log said it keeps. */
    public long firstKept() {
        return firstKept;
    }

    /** Records handed in and not yet settled. */
    public int backlog() {
        return backlog.records();
    }

    /** Octets of the records handed in and not yet settled. */
    public long backlogBytes() {
        return backlog.bytes();
    }

    /** When the last read that reached the end of the stream started. */
    public OptionalLong lastReadMillis() {
        return everRead ? OptionalLong.of(lastReadMillis) : OptionalLong.empty();
    }

    /** Whether the log answered the last calls. */
    public boolean available() {
        return everRead && !appendBackoff.failing() && !readBackoff.failing();
    }

    /** Changes the least time between appends when the number of appending nodes has changed. */
    public void setCommitInterval(long intervalMillis) {
        commitIntervalMillis = intervalMillis;
    }

    private int roomInBatch() {
        return settings.maximumBatchBytes() - BatchFrame.overhead(writer);
    }

    private void settleAppended(long offset) {
        if (offset == next) {
            foldBatch(offset, inFlight.batch());
            moveTo(offset + 1);
            reviveIfVoid();
            return;
        }
        if (offset > next) {
            inFlight.landed();
            wantedSerial++;
            return;
        }
        // The fold stands beyond it without having met it: a gap took it, or it landed too late to count.
        reviveIfVoid();
        if (inFlight != null && !inFlight.is(InFlight.State.READY)) {
            giveUp();
        }
    }

    /** A batch that landed too late to count can be appended under another number, see {@link WriterTable}. */
    private void reviveIfVoid() {
        if (inFlight != null && inFlight.isVoidAt(next) && !inFlight.mayLieInGap()) {
            inFlight.ready();
        }
    }

    private void settleReadBack() {
        if (inFlight == null) {
            return;
        }
        if (inFlight.readBackBy(answeredSerial)) {
            inFlight.ready();
            giveUpIfInGap();
            return;
        }
        if (inFlight.is(InFlight.State.LANDED)) {
            reviveIfVoid();
        }
    }

    private void passGap(long first) {
        next = first;
        fold.gap(first);
        if (inFlight == null) {
            return;
        }
        inFlight.gapPassed();
        if (inFlight.is(InFlight.State.READY)) {
            giveUpIfInGap();
        }
    }

    private void giveUpIfInGap() {
        // Appending again could bring the records twice: a reader that saw the first copy would skip the second, one
        // that starts after the gap would not.
        if (inFlight != null && inFlight.mayLieInGap()) {
            giveUp();
        }
    }

    private void giveUp() {
        InFlight lost = inFlight;
        inFlight = null;
        settleAll(lost.pending(), Submission.unresolved());
    }

    private void foldEntries(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            if (entry.offset() < next) {
                continue;
            }
            if (entry.offset() > next) {
                return;
            }
            foldEntry(entry);
            moveTo(entry.offset() + 1);
        }
    }

    private void moveTo(long position) {
        next = position;
        fold.foldedBelow(position);
    }

    private void foldEntry(LogEntry entry) {
        Optional<Batch> batch = BatchFrame.decode(entry.data());
        if (batch.isEmpty()) {
            fold.malformed(entry.offset());
            return;
        }
        foldBatch(entry.offset(), batch.get());
    }

    private void foldBatch(long offset, Batch batch) {
        if (!writers.admit(offset, batch)) {
            return;
        }
        boolean own = inFlight != null && batch.writer().equals(writer) && inFlight.isNumber(batch.sequence());
        List<Backlog.Pending> pending = own ? inFlight.pending() : List.of();
        if (own) {
            inFlight = null;
        }
        folding = true;
        try {
            for (int index = 0; index < batch.records().size(); index++) {
                fold.apply(offset, batch.records().get(index), index);
                if (own) {
                    settle(pending.get(index), Submission.folded(offset));
                }
            }
        } finally {
            folding = false;
        }
    }

    private void settleAll(List<Backlog.Pending> all, Submission submission) {
        all.forEach(pending -> settle(pending, submission));
    }

    private void settle(Backlog.Pending pending, Submission submission) {
        backlog.settled(pending);
        pending.whenFolded().accept(submission);
    }

    /** Starts what is due, once at a time: a transport may answer, or a listener hand in more, while it runs. */
    private void pump(long nowMillis) {
        if (pumping || folding) {
            pumpAgain = true;
            return;
        }
        pumping = true;
        try {
            do {
                pumpAgain = false;
                maybeAppend(nowMillis);
                maybeRead(nowMillis);
            } while (pumpAgain);
        } finally {
            pumping = false;
        }
    }

    private void maybeAppend(long nowMillis) {
        // Before the first read the fold position says nothing, and a batch based on it could be void.
        if (appendUnanswered || !everRead || !appendBackoff.ready(nowMillis)) {
            return;
        }
        if (inFlight == null && !formBatch(nowMillis)) {
            return;
        }
        if (!inFlight.is(InFlight.State.READY)) {
            return;
        }
        if (inFlight.isVoidAt(next)) {
            inFlight.number(writer, ++sequence, next);
        }
        inFlight.sent();
        appendUnanswered = true;
        everAppended = true;
        appendStartedMillis = nowMillis;
        transport.append(stream, inFlight.frame());
    }

    private boolean formBatch(long nowMillis) {
        boolean due = !everAppended || nowMillis - appendStartedMillis >= commitIntervalMillis;
        if (!due || !backlog.hasWaiting()) {
            return false;
        }
        inFlight = InFlight.create(backlog.take(roomInBatch()));
        inFlight.number(writer, ++sequence, next);
        return true;
    }

    private void maybeRead(long nowMillis) {
        boolean urgent = answeredSerial < wantedSerial;
        if (readUnanswered || !(urgent || settings.tail()) || !readBackoff.ready(nowMillis)) {
            return;
        }
        readUnanswered = true;
        readFrom = next;
        readStartedMillis = nowMillis;
        startedSerial = wantedSerial;
        transport.read(stream, next, urgent ? 0 : settings.longPollMillis());
    }
}
