package org.quetzalshunt.core.attempt;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * Attempts by id. Finished attempts are retained within limits on age, number and total size, so that a receiver whose
 * link broke can still fetch the rest of the response.
 */
final class AttemptTable {
    /**
     * An owner that lost its link reconnects within seconds; otherwise another owner takes over within one lease
     * period.
     */
    static final long FINISHED_RETENTION_MILLIS = 30_000;

    /** More than the attempts that finish within the retention time at 25 attempts a second. */
    static final int MAXIMUM_FINISHED = 1_024;

    /** The process has 256 MB in total, most of which is needed for running attempts and buffers. */
    static final long MAXIMUM_FINISHED_BYTES = 32L * 1024 * 1024;

    private final Long2ObjectHashMap<AttemptRecord> records = new Long2ObjectHashMap<>();
    private final Deque<AttemptRecord> finished = new ArrayDeque<>();
    private long finishedBytes;

    Optional<AttemptRecord> find(long attempt) {
        return Optional.ofNullable(records.get(attempt));
    }

    void add(AttemptRecord added) {
        records.put(added.attempt(), added);
    }

    void markFinished(AttemptRecord ended) {
        finished.addLast(ended);
        finishedBytes += ended.chunkBytes;
    }

    void detach(long link, long nowMillis) {
        for (AttemptRecord candidate : records.values()) {
            if (candidate.link == link) {
                candidate.link = AttemptRecord.NO_LINK;
                candidate.detachedAtMillis = nowMillis;
            }
        }
    }

    int runningCount() {
        return records.size() - finished.size();
    }

    int finishedCount() {
        return finished.size();
    }

    /** Returns a copy, because callers may end attempts while they iterate over it. */
    List<AttemptRecord> listRunning() {
        List<AttemptRecord> running = new ArrayList<>(runningCount());
        for (AttemptRecord candidate : records.values()) {
            if (candidate.isRunning()) {
                running.add(candidate);
            }
        }
        return running;
    }

    /** Removes and returns the oldest finished attempt if a retention limit is exceeded. */
    Optional<AttemptRecord> removeExpired(long nowMillis) {
        AttemptRecord oldest = finished.peekFirst();
        if (oldest == null || !exceedsRetention(oldest, nowMillis)) {
            return Optional.empty();
        }
        finished.removeFirst();
        records.remove(oldest.attempt());
        finishedBytes -= oldest.chunkBytes;
        return Optional.of(oldest);
    }

    private boolean exceedsRetention(AttemptRecord oldest, long nowMillis) {
        return nowMillis - oldest.finishedAtMillis >= FINISHED_RETENTION_MILLIS
                || finished.size() > MAXIMUM_FINISHED
                || finishedBytes > MAXIMUM_FINISHED_BYTES;
    }
}
