package org.quetzalshunt.core.log;

import java.util.SplittableRandom;

/**
 * Decides when a session reads because another process has read further.
 *
 * <p>Load pattern: after an outage of the log, the processes reach it again one by one, each after its own back-off.
 * Once the first one has applied a change, the others must not serve by their older state, and would refuse every
 * caller until their back-off is over. They therefore read as soon as they are notified of the newer offset.
 *
 * <p>The extra load on the log is bounded: there is one such read for each new offset, delayed by a random time so that
 * processes that are notified together do not read together.
 */
final class CatchUp {
    private static final long MAXIMUM_JITTER_MILLIS = 100;

    /** Time for a pending read to be answered. A long poll that is still in order returns the new records by then. */
    private static final long PENDING_READ_MILLIS = 300;

    /** Time from the report of an offset within which the read that it causes is expected to end. */
    private static final long EXPECTED_MILLIS = 1_000;

    private final SplittableRandom random;
    /** Highest offset that another process has reported. */
    private long peerNext;

    private long reportedMillis;
    private long dueMillis;
    private boolean started;
    private boolean failed;

    private CatchUp(long seed) {
        this.random = new SplittableRandom(seed);
    }

    static CatchUp create(long seed) {
        return new CatchUp(seed);
    }

    void onPeerOffset(long nowMillis, long reportedNext, boolean readPending) {
        if (reportedNext <= peerNext) {
            return;
        }
        peerNext = reportedNext;
        reportedMillis = nowMillis;
        dueMillis = nowMillis + (readPending ? PENDING_READ_MILLIS : 0) + random.nextLong(MAXIMUM_JITTER_MILLIS + 1);
        started = false;
        failed = false;
    }

    void onReadStarted() {
        started = true;
    }

    void onReadFailed() {
        failed = started;
    }

    boolean isReadDue(long nowMillis, long nextOffset) {
        return nextOffset < peerNext && !started && nowMillis >= dueMillis;
    }

    boolean isExpected(long nowMillis, long nextOffset) {
        return nextOffset < peerNext && !failed && nowMillis - reportedMillis < EXPECTED_MILLIS;
    }
}
