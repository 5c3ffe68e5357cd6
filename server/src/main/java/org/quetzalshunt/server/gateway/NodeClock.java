package org.quetzalshunt.server.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

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
    private final LongSupplier monotonicMillis;
    private final LongSupplier wallMillis;
    private long offsetMillis;

    NodeClock(Runnable onJump) {
        this(onJump, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), System::currentTimeMillis);
    }

    NodeClock(Runnable onJump, LongSupplier monotonicMillis, LongSupplier wallMillis) {
        this.onJump = onJump;
        this.monotonicMillis = monotonicMillis;
        this.wallMillis = wallMillis;
        this.offsetMillis = offset();
    }

    /** Monotonic time in milliseconds. */
    long now() {
        return monotonicMillis.getAsLong();
    }

    /** Wall-clock time in Unix milliseconds. */
    long wallMillis() {
        return wallMillis.getAsLong();
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

    private long offset() {
        return wallMillis() - now();
    }
}
