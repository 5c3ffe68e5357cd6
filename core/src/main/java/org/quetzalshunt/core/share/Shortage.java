package org.quetzalshunt.core.share;

/**
 * Whether a service has been short of slots for long enough to restrict accounts.
 *
 * <p>Load pattern: programs start in small bursts, so that even a service with enough capacity is short of slots for
 * some 100 ms now and then. The shortage is therefore averaged over time, and its end is recognised at a lower level
 * than its beginning.
 */
final class Shortage {
    private static final double TIME_CONSTANT_MILLIS = 500;

    /** Average at which a shortage begins: after some 350 ms without a free slot. */
    private static final double BEGIN_LEVEL = 0.5;

    /** Average at which a shortage ends: after some 700 ms with free slots. */
    private static final double END_LEVEL = 0.25;

    /**
     * Average at which the use of accounts is reported to peers: before shares take effect, so that the peers' use is
     * known by then.
     */
    private static final double REPORT_LEVEL = 0.15;

    private boolean isShort;
    private boolean lasting;
    private double level;
    private long updatedMillis;

    Shortage(long nowMillis) {
        this.updatedMillis = nowMillis;
    }

    /** Records whether the service is short of slots from now on. */
    void set(long nowMillis, boolean nowShort) {
        advance(nowMillis);
        isShort = nowShort;
    }

    private void advance(long nowMillis) {
        long elapsedMillis = nowMillis - updatedMillis;
        if (elapsedMillis <= 0) {
            return;
        }
        updatedMillis = nowMillis;
        level += ((isShort ? 1 : 0) - level) * (1 - Math.exp(-elapsedMillis / TIME_CONSTANT_MILLIS));
        lasting = level >= (lasting ? END_LEVEL : BEGIN_LEVEL);
    }

    /** Whether the shortage has lasted. Changes rarely, so that it is suitable for logs. */
    boolean isLasting(long nowMillis) {
        advance(nowMillis);
        return lasting;
    }

    /** Whether accounts are restricted: the shortage has lasted, and no slot is free now. */
    boolean restrictsAccounts(long nowMillis) {
        return isLasting(nowMillis) && isShort;
    }

    boolean isReported(long nowMillis) {
        advance(nowMillis);
        return level >= REPORT_LEVEL;
    }
}
