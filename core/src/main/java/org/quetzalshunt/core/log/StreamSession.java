package org.quetzalshunt.core.log;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * A process's client of one stream. It applies the stream's records in log order to a {@link LogFold}, appends
 * submitted records in batches, and resolves appends whose answer was lost by reading the stream. Not thread-safe: one
 * thread calls {@link #tick} every few milliseconds and delivers the transport's answers.
 *
 * <p>At most one append and one read are pending. When an append's offset is the next one to apply, the batch is
 * applied at once, without reading it back; otherwise the records before it are read first.
 */
public final class StreamSession {
    /** Spreads the calls of sessions that learn of the end of an outage together. */
    private static final long END_OF_OUTAGE_JITTER_MILLIS = 100;

    private final String stream;
    private final StreamSettings settings;
    private final String writer;
    private final LogTransport transport;
    private final LogFold fold;
    private final BatchDeduplicator deduplicator = BatchDeduplicator.create();
    private final Backlog backlog;
    private final Backoff appendBackoff;
    private final Backoff readBackoff;
    private final CatchUp catchUp;

    private long commitIntervalMillis;
    private long nextOffset;
    private long firstKept;
    private long sequence;
    private InFlightBatch inFlight;
    private boolean appendUnanswered;
    private long appendStartedMillis;
    private boolean hasAppended;

    private boolean readUnanswered;
    private long readFrom;
    private long readStartedMillis;
    /** Number of the newest request to read to the end. A read satisfies the requests made before it started. */
    private long requestedReadSerial = 1;

    private long startedReadSerial;
    private long completedReadSerial;
    private boolean hasRead;
    private long lastReadMillis;

    private boolean applying;
    private boolean startingDueCalls;
    private boolean startDueCallsAgain;

    private StreamSession(String stream, StreamSettings settings, String writer, LogTransport transport, LogFold fold) {
        this.stream = stream;
        this.settings = settings;
        this.writer = writer;
        this.transport = transport;
        this.fold = fold;
        this.backlog = Backlog.create(settings);
        this.appendBackoff = Backoff.create(settings.seed());
        this.readBackoff = Backoff.create(settings.seed() + 1);
        this.catchUp = CatchUp.create(settings.seed() + 2);
        this.commitIntervalMillis = settings.commitIntervalMillis();
    }

    /**
     * Creates a session at offset 0, which starts to read with the first tick.
     *
     * @param writerId unique id of this run of the process, never used again
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
     * Submits a record to be appended.
     *
     * @param whenFolded called exactly once: directly after the record was applied, at once when it is rejected, or
     *     when its outcome can no longer be determined
     */
    public void submit(long nowMillis, byte[] record, Consumer<Submission> whenFolded) {
        if (BatchFrame.recordBytes(record) > batchCapacityBytes()) {
            whenFolded.accept(Submission.rejectedTooLarge());
            return;
        }
        if (!backlog.offer(new Backlog.Pending(record, whenFolded))) {
            whenFolded.accept(Submission.rejectedBacklogFull());
            return;
        }
        startDueCalls(nowMillis);
    }

    /** The pending append took effect at an offset. */
    public void onAppended(long nowMillis, long offset) {
        appendUnanswered = false;
        appendBackoff.succeeded();
        if (inFlight != null && inFlight.is(InFlightBatch.State.SENT)) {
            settleAppended(offset);
        }
        startDueCalls(nowMillis);
    }

    /**
     * The pending append failed or was not answered.
     *
     * @param mayHaveTakenEffect false only if the batch certainly is not in the log and never will be
     */
    public void onAppendFailed(long nowMillis, boolean mayHaveTakenEffect) {
        appendUnanswered = false;
        appendBackoff.failed(nowMillis);
        if (inFlight == null || !inFlight.is(InFlightBatch.State.SENT)) {
            return;
        }
        if (mayHaveTakenEffect) {
            // A pending read may have been served before the append took effect, so only a read that starts from now
            // on can show that the batch is missing.
            inFlight.requireReadBack(++requestedReadSerial);
        } else {
            inFlight.markRejected();
            settleAsUnresolvedIfInGap();
        }
        startDueCalls(nowMillis);
    }

    /** The pending read was answered. */
    public void onRead(long nowMillis, ReadAnswer answer) {
        if (answer.next() < readFrom) {
            // The log ends before an offset that it has already returned, so it lost records or is out of date.
            onReadFailed(nowMillis);
            return;
        }
        readUnanswered = false;
        readBackoff.succeeded();
        firstKept = Math.max(firstKept, answer.first());
        if (answer.first() > nextOffset) {
            skipGap(answer.first());
        }
        applyEntries(answer.entries());
        if (nextOffset >= answer.next()) {
            hasRead = true;
            completedReadSerial = startedReadSerial;
            // Records the start time of the read, because the state is certain to be current only as of its start.
            lastReadMillis = readStartedMillis;
        }
        settleReadBack();
        startDueCalls(nowMillis);
    }

    /** The pending read failed or was not answered. */
    public void onReadFailed(long nowMillis) {
        readUnanswered = false;
        readBackoff.failed(nowMillis);
        catchUp.onReadFailed();
    }

    /**
     * Another process has applied the stream up to this offset, so the log is available. If this session has not, it
     * reads soon instead of waiting for its back-off or for a read that is still unanswered.
     */
    public void onPeerOffset(long nowMillis, long peerNext) {
        if (peerNext > nextOffset) {
            catchUp.onPeerOffset(nowMillis, peerNext, readUnanswered);
            startDueCalls(nowMillis);
        }
    }

    /** The log has answered a call of another session after an outage: calls that wait for their back-off start soon. */
    public void onLogAvailable(long nowMillis) {
        readBackoff.retryWithin(nowMillis, END_OF_OUTAGE_JITTER_MILLIS);
        appendBackoff.retryWithin(nowMillis, END_OF_OUTAGE_JITTER_MILLIS);
    }

    /** Whether a read is due or pending that is expected to reach an offset reported by another process. */
    public boolean isCatchingUp(long nowMillis) {
        return catchUp.isExpected(nowMillis, nextOffset);
    }

    /** Starts the appends and reads that are due. */
    public void tick(long nowMillis) {
        startDueCalls(nowMillis);
    }

    /**
     * Requests a read to the end of the stream that starts from now on. {@link #isCaughtUp} is true once it is done.
     */
    public void requestReadToEnd(long nowMillis) {
        requestedReadSerial++;
        startDueCalls(nowMillis);
    }

    /** Whether the stream was read to its end since the last {@link #requestReadToEnd}, or at all if there was none. */
    public boolean isCaughtUp() {
        return completedReadSerial >= requestedReadSerial;
    }

    /** Offset that is applied next. */
    public long nextOffset() {
        return nextOffset;
    }

    /** Oldest offset that the log still keeps, as of the last read. */
    public long firstKept() {
        return firstKept;
    }

    /** Number of submitted records whose outcome has not been reported. */
    public int backlogRecords() {
        return backlog.records();
    }

    /** Total size of the submitted records whose outcome has not been reported. */
    public long backlogBytes() {
        return backlog.bytes();
    }

    /** Start time of the last read that reached the end of the stream. */
    public OptionalLong lastReadMillis() {
        return hasRead ? OptionalLong.of(lastReadMillis) : OptionalLong.empty();
    }

    /** Whether the stream was read to its end at least once and the last append and the last read succeeded. */
    public boolean isAvailable() {
        return hasRead && !appendBackoff.isFailing() && !readBackoff.isFailing();
    }

    /** Sets the minimum time between appends; see {@link CommitInterval}. */
    public void setCommitInterval(long intervalMillis) {
        commitIntervalMillis = intervalMillis;
    }

    private int batchCapacityBytes() {
        return settings.maximumBatchBytes() - BatchFrame.overhead(writer);
    }

    private void settleAppended(long offset) {
        if (offset == nextOffset) {
            applyBatch(offset, inFlight.batch());
            advanceTo(offset + 1);
            retryIfTooOld();
            return;
        }
        if (offset > nextOffset) {
            inFlight.markAppended();
            requestedReadSerial++;
            return;
        }
        // The offset was passed without applying the batch, which was lost in a gap or is void for its age.
        retryIfTooOld();
        if (inFlight != null && !inFlight.is(InFlightBatch.State.READY)) {
            settleAsUnresolved();
        }
    }

    /** Retries a batch that is void for its age; it gets a new sequence number, see {@link BatchDeduplicator}. */
    private void retryIfTooOld() {
        if (inFlight != null && inFlight.isTooOldAt(nextOffset) && !inFlight.mayLieInGap()) {
            inFlight.markReady();
        }
    }

    private void settleReadBack() {
        if (inFlight == null) {
            return;
        }
        if (inFlight.isReadBackBy(completedReadSerial)) {
            inFlight.markReady();
            settleAsUnresolvedIfInGap();
            return;
        }
        if (inFlight.is(InFlightBatch.State.AWAITING_FOLD)) {
            retryIfTooOld();
        }
    }

    private void skipGap(long first) {
        nextOffset = first;
        fold.onGap(first);
        if (inFlight == null) {
            return;
        }
        inFlight.onGap();
        if (inFlight.is(InFlightBatch.State.READY)) {
            settleAsUnresolvedIfInGap();
        }
    }

    private void settleAsUnresolvedIfInGap() {
        // Appending it again could duplicate the records: a reader that saw the first copy would skip the second, but a
        // reader that starts after the gap would apply it.
        if (inFlight != null && inFlight.mayLieInGap()) {
            settleAsUnresolved();
        }
    }

    private void settleAsUnresolved() {
        InFlightBatch unresolved = inFlight;
        inFlight = null;
        settleAll(unresolved.pending(), Submission.unresolved());
    }

    private void applyEntries(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            if (entry.offset() < nextOffset) {
                continue;
            }
            if (entry.offset() > nextOffset) {
                return;
            }
            applyEntry(entry);
            advanceTo(entry.offset() + 1);
        }
    }

    private void advanceTo(long position) {
        nextOffset = position;
        fold.onAppliedBelow(position);
    }

    private void applyEntry(LogEntry entry) {
        Optional<Batch> batch = BatchFrame.decode(entry.data());
        if (batch.isEmpty()) {
            fold.onMalformedEntry(entry.offset());
            return;
        }
        applyBatch(entry.offset(), batch.get());
    }

    private void applyBatch(long offset, Batch batch) {
        if (!deduplicator.accept(offset, batch)) {
            return;
        }
        boolean isOwn = inFlight != null && batch.writer().equals(writer) && inFlight.hasSequence(batch.sequence());
        List<Backlog.Pending> pending = isOwn ? inFlight.pending() : List.of();
        if (isOwn) {
            inFlight = null;
        }
        applying = true;
        try {
            for (int index = 0; index < batch.records().size(); index++) {
                fold.apply(offset, batch.records().get(index), index);
                if (isOwn) {
                    settle(pending.get(index), Submission.folded(offset));
                }
            }
        } finally {
            applying = false;
        }
    }

    private void settleAll(List<Backlog.Pending> all, Submission submission) {
        all.forEach(pending -> settle(pending, submission));
    }

    private void settle(Backlog.Pending pending, Submission submission) {
        backlog.release(pending);
        pending.whenFolded().accept(submission);
    }

    /**
     * Starts due appends and reads. Not reentrant: a call made meanwhile by an answer of the transport or a submission
     * from a callback only causes another pass.
     */
    private void startDueCalls(long nowMillis) {
        if (startingDueCalls || applying) {
            startDueCallsAgain = true;
            return;
        }
        startingDueCalls = true;
        try {
            do {
                startDueCallsAgain = false;
                appendIfDue(nowMillis);
                readIfDue(nowMillis);
            } while (startDueCallsAgain);
        } finally {
            startingDueCalls = false;
        }
    }

    private void appendIfDue(long nowMillis) {
        // Before the first read the end of the stream is unknown, and a batch based on offset 0 could be void.
        if (appendUnanswered || !hasRead || !appendBackoff.isReady(nowMillis)) {
            return;
        }
        if (inFlight == null && !formBatch(nowMillis)) {
            return;
        }
        if (!inFlight.is(InFlightBatch.State.READY)) {
            return;
        }
        if (inFlight.isTooOldAt(nextOffset)) {
            inFlight.assignSequence(writer, ++sequence, nextOffset);
        }
        inFlight.markSent();
        appendUnanswered = true;
        hasAppended = true;
        appendStartedMillis = nowMillis;
        transport.append(stream, inFlight.frame());
    }

    private boolean formBatch(long nowMillis) {
        boolean due = !hasAppended || nowMillis - appendStartedMillis >= commitIntervalMillis;
        if (!due || !backlog.hasWaiting()) {
            return false;
        }
        inFlight = InFlightBatch.create(backlog.pollBatch(batchCapacityBytes()));
        inFlight.assignSequence(writer, ++sequence, nextOffset);
        return true;
    }

    private void readIfDue(long nowMillis) {
        boolean catchingUp = catchUp.isReadDue(nowMillis, nextOffset);
        if (catchingUp) {
            catchUp.onReadStarted();
            abandonPendingRead();
        }
        boolean urgent = catchingUp || completedReadSerial < requestedReadSerial;
        boolean ready = catchingUp || readBackoff.isReady(nowMillis);
        if (readUnanswered || !(urgent || settings.tail()) || !ready) {
            return;
        }
        readUnanswered = true;
        readFrom = nextOffset;
        readStartedMillis = nowMillis;
        startedReadSerial = requestedReadSerial;
        transport.read(stream, nextOffset, urgent ? 0 : settings.longPollMillis());
    }

    private void abandonPendingRead() {
        if (readUnanswered) {
            readUnanswered = false;
            transport.abandonRead(stream);
        }
    }
}
