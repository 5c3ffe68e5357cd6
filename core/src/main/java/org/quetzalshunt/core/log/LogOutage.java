package org.quetzalshunt.core.log;

/**
 * Notices the end of an outage of the log from the calls of all sessions of a process.
 *
 * <p>Load pattern: in an outage each stream's session backs off by itself. The first one that is answered shows that the
 * log is available for all of them, so the others need not wait for their own back-off. Only an outage of some length
 * counts: a log that rejects part of the calls must not be called more often because it answers the others.
 */
public final class LogOutage {
    private static final long MINIMUM_OUTAGE_MILLIS = 1_000;
    private static final long NONE = Long.MAX_VALUE;

    private long failingSinceMillis = NONE;

    private LogOutage() {}

    /** Creates an instance without an outage. */
    public static LogOutage create() {
        return new LogOutage();
    }

    /** Records a call that the log did not answer. */
    public void onFailure(long nowMillis) {
        failingSinceMillis = Math.min(failingSinceMillis, nowMillis);
    }

    /** Records a call that the log answered; returns whether that ends an outage. */
    public boolean endsWithAnswer(long nowMillis) {
        boolean ended = failingSinceMillis != NONE && nowMillis - failingSinceMillis >= MINIMUM_OUTAGE_MILLIS;
        failingSinceMillis = NONE;
        return ended;
    }
}
