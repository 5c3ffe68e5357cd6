package org.quetzalshunt.server.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Monotonic and wall-clock time of this VM, with detection of pauses during which the monotonic clock stopped.
 *
 * <p>While a VM is suspended, its monotonic clock stops but its wall clock does not. If the two diverge, leases and
 * confirmations may have expired although the monotonic clock shows otherwise. A stepped wall clock looks the same and
 * only costs a few extra reads of the store.
 */
final class NodeClock {
    /** Far above the jitter between two clock reads, and far below the duration of any lease. */
    private static final long TOLERANCE_MILLIS = 250;

    private final Runnable onJump;
    private long offsetMillis = offset();

    NodeClock(Runnable onJump) {
        this.onJump = onJump;
    }

    /** Monotonic time in milliseconds. */
    long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Wall-clock time in Unix milliseconds. */
    long wallMillis() {
        return System.currentTimeMillis();
    }

    /** Runs the jump action if the clocks have diverged since the last call. */
    void detectJump() {
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
