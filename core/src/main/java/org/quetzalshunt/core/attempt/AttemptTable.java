package org.quetzalshunt.core.attempt;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * Attempts by id. Running ones are kept as long as they run; finished ones for a bounded time, number and size, so
 * that a receiver whose link broke can still fetch the rest.
 */
final class AttemptTable {
    /** An owner that lost its link connects again within seconds, or another takes over within a lease. */
    static final long FINISHED_KEEP_MILLIS = 30_000;

    /** At 25 attempts a second, more than the time above needs. */
    static final int MAXIMUM_FINISHED = 1_024;

    /** A process has 256 MB in all; running attempts and buffers need most of it. */
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
                candidate.detachedMillis = nowMillis;
            }
        }
    }

    int running() {
        return records.size() - finished.size();
    }

    int finished() {
        return finished.size();
    }

    /** The running ones now, as a copy: what is done with one of them may end it. */
    List<AttemptRecord> listRunning() {
        List<AttemptRecord> running = new ArrayList<>(running());
        for (AttemptRecord candidate : records.values()) {
            if (candidate.isRunning()) {
                running.add(candidate);
            }
        }
        return running;
    }

    /** Takes out the oldest finished one that is due, if there is one. */
    Optional<AttemptRecord> removeExpired(long nowMillis) {
        AttemptRecord oldest = finished.peekFirst();
        if (oldest == null || !isDue(oldest, nowMillis)) {
            return Optional.empty();
        }
        finished.removeFirst();
        records.remove(oldest.attempt());
        finishedBytes -= oldest.chunkBytes;
        return Optional.of(oldest);
    }

    private boolean isDue(AttemptRecord oldest, long nowMillis) {
        return nowMillis - oldest.finishedMillis >= FINISHED_KEEP_MILLIS
                || finished.size() > MAXIMUM_FINISHED
                || finishedBytes > MAXIMUM_FINISHED_BYTES;
    }
}
