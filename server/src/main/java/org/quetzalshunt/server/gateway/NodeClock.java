package org.quetzalshunt.server.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Monotonic time, and the detection of pauses that it does not count.
 *
 * <p>A suspended VM's monotonic clock stands still, its time of day does not. When the two part, leases and proofs of
 * freshness may have lapsed although the monotonic clock says otherwise. A stepped time of day looks the same and costs
 * a few reads.
 */
final class NodeClock {
    /** Far above the jitter between two clock reads, far below any lease. */
    private static final long TOLERANCE_MILLIS = 250;

    private final Runnable onJump;
    private long offsetMillis = offset();

    NodeClock(Runnable onJump) {
        this.onJump = onJump;
    }

    /** Milliseconds that only grow. */
    long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Time of day, in Unix milliseconds. */
    long wall() {
        return System.currentTimeMillis();
    }

    /** Runs the action if the clocks parted since the last check. */
    void check() {
        long offset = offset();
        if (Math.abs(offset - offsetMillis) <= TOLERANCE_MILLIS) {
            return;
        }
        offsetMillis = offset;
        onJump.run();
    }

    private static long offset() {
        return System.currentTimeMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
