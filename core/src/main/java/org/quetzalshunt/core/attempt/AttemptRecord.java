package org.quetzalshunt.core.attempt;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One attempt: its order, where it stands, and the frames that came so far. A row of {@link AttemptTable}. */
final class AttemptRecord {
    static final long NO_LINK = -1;

    final AttemptOrder order;
    final long deadlineMillis;
    final List<byte[]> chunks = new ArrayList<>();
    final ByteArrayOutputStream refusal = new ByteArrayOutputStream(0);
    long link;
    long detachedMillis;
    long lastProgressMillis;
    int run;
    int status;
    boolean headSeen;
    Map<String, String> headers = Map.of();
    int chunkCount;
    long chunkBytes;
    boolean framesDropped;
    int runStatus;
    boolean runIsResume;
    int resumes;
    boolean resuming;
    boolean sentAgain;
    boolean answeredSinceBreak;
    long resumeAtMillis;
    Optional<TokenUsage> usage = Optional.empty();
    Optional<String> finishReason = Optional.empty();
    Optional<AttemptResult> result = Optional.empty();
    long finishedMillis;

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
