package org.quetzalshunt.core.limit;

/**
 * Bounds the requests for tokens that one entry sends or passes on, so that accounts over their rate, whose entries all
 * ask in vain, cannot fill the network. Transfers and acknowledgements are bounded by the requests.
 */
final class MessageBudget {
    /** At about 90 octets a request, 50 a second stay within half of a node's 10 KB of control traffic a second. */
    private static final long MESSAGES_PER_SECOND = 50;

    /** A request served is some kilobytes of traffic by itself; two messages with it do not show. */
    private static final long MESSAGES_PER_SERVED = 2;

    /** Traffic of many accounts that moves at once is fetched without a pause. */
    private static final long MOST_SAVED = 400;

    private double saved = MOST_SAVED;
    private long updatedMillis = Long.MIN_VALUE;

    void onServed(long nowMillis) {
        earn(nowMillis);
        saved = Math.min(MOST_SAVED, saved + MESSAGES_PER_SERVED);
    }

    boolean tryUse(long nowMillis) {
        earn(nowMillis);
        if (saved < 1) {
            return false;
        }
        saved -= 1;
        return true;
    }

    private void earn(long nowMillis) {
        if (updatedMillis != Long.MIN_VALUE && nowMillis > updatedMillis) {
            saved = Math.min(MOST_SAVED, saved + (nowMillis - updatedMillis) * MESSAGES_PER_SECOND / 1_000.0);
        }
        updatedMillis = Math.max(updatedMillis, nowMillis);
    }
}
