package org.quetzalshunt.core.attempt;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** State of one attempt: its order, its progress, and the frames received so far. A row of {@link AttemptTable}. */
final class AttemptRecord {
    static final long NO_LINK = -1;

    final AttemptOrder order;
    final long deadlineMillis;
    final List<byte[]> chunks = new ArrayList<>();
    final ByteArrayOutputStream errorBody = new ByteArrayOutputStream(0);
    long link;
    long detachedAtMillis;
    long lastProgressMillis;

    /** Number of the current run; each resume or resend begins another one. */
    int run;

    /** Status that was forwarded to the receiver. */
    int status;

    boolean hasHead;
    Map<String, String> headers = Map.of();
    int chunkCount;
    long chunkBytes;

    /** Whether the response exceeded the replay limit, so that its frames are not retained. */
    boolean isReplayDiscarded;

    /** Status of the current run; 0 before its response head. */
    int runStatus;

    boolean isResumeRun;

    /** Resumes since the last chunk. */
    int resumeCount;

    boolean isResumePending;
    boolean isResent;
    boolean hasAnsweredSinceBreak;
    long resumeAtMillis;
    Optional<TokenUsage> usage = Optional.empty();
    Optional<String> finishReason = Optional.empty();
    Optional<AttemptResult> result = Optional.empty();
    long finishedAtMillis;

    private AttemptRecord(AttemptOrder order, long link, long nowMillis) {
        this.order = order;
        this.link = link;
        this.deadlineMillis = nowMillis + order.remainingMillis();
        this.lastProgressMillis = nowMillis;
    }

    static AttemptRecord of(AttemptOrder order, long link, long nowMillis) {
        return new AttemptRecord(order, link, nowMillis);
    }

    long attempt() {
        return order.attempt();
    }

    boolean isRunning() {
        return result.isEmpty();
    }

    long remainingMillis(long nowMillis) {
        return Math.max(0, deadlineMillis - nowMillis);
    }
}
