package org.quetzalshunt.core.limit;

/**
 * Token bucket for the token requests that one entry sends or forwards. It keeps accounts over their rate, whose
 * entries all request tokens in vain, from saturating the network. Transfers and acknowledgements are bounded by the
 * requests.
 */
final class MessageBudget {
    /**
     * At about 90 octets per request, 50 per second stay within half of a node's 10 KB of control traffic per second.
     */
    private static final long MESSAGES_PER_SECOND = 50;

    /** A served request causes some kilobytes of traffic itself, beside which two messages are negligible. */
    private static final long MESSAGES_PER_SERVED_REQUEST = 2;

    /** Capacity, so that the traffic of many accounts that moves at once can be fetched without delay. */
    private static final long CAPACITY = 400;

    private double available = CAPACITY;
    private long updatedMillis = Long.MIN_VALUE;

    void onServed(long nowMillis) {
        accrue(nowMillis);
        available = Math.min(CAPACITY, available + MESSAGES_PER_SERVED_REQUEST);
    }

    boolean tryAcquire(long nowMillis) {
        accrue(nowMillis);
        if (available < 1) {
            return false;
        }
        available -= 1;
        return true;
    }

    private void accrue(long nowMillis) {
        if (updatedMillis != Long.MIN_VALUE && nowMillis > updatedMillis) {
            available = Math.min(CAPACITY, available + (nowMillis - updatedMillis) * MESSAGES_PER_SECOND / 1_000.0);
        }
        updatedMillis = Math.max(updatedMillis, nowMillis);
    }
}
