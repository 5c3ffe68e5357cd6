package org.quetzalshunt.core.memory;

/**
 * Decides when the response of an endpoint is read while its caller reads too slowly. Reading stops at once, since the
 * data would accumulate here. It continues after {@link #PAUSE_MILLIS} into a limited buffer: an endpoint cuts a
 * response that stays unread for some seconds, and most callers that stall briefly have caught up by then. Reading
 * stops again when that buffer is full. Times are those of the caller's clock, in milliseconds.
 */
public final class ReadPacing {
    /** Time after which reading continues although the caller has not caught up. */
    public static final long PAUSE_MILLIS = 500;

    /** Bytes that are read for one response while its caller does not catch up. */
    public static final long BUFFER_BYTES = 64 * 1024;

    private enum State {
        OPEN,
        PAUSED,
        BUFFERING,
        FULL
    }

    private State state = State.OPEN;
    private long buffered;
    private long pausedSinceMillis;
    private long pausedMillis;

    /** The caller's connection accepts no more data. */
    public void onBlocked(long nowMillis) {
        if (state == State.OPEN) {
            state = State.PAUSED;
            pausedSinceMillis = nowMillis;
            buffered = 0;
        }
    }

    /** The caller's connection accepts data again. */
    public void onUnblocked(long nowMillis) {
        if (state != State.OPEN) {
            pausedMillis += Math.max(0, nowMillis - pausedSinceMillis);
            state = State.OPEN;
        }
    }

    /** Applies the time limit of the pause. */
    public void onTime(long nowMillis) {
        if (state == State.PAUSED && nowMillis - pausedSinceMillis >= PAUSE_MILLIS) {
            state = State.BUFFERING;
        }
    }

    /** Data of the response was read. */
    public void onRead(long bytes) {
        if (state != State.BUFFERING) {
            return;
        }
        buffered += bytes;
        if (buffered >= BUFFER_BYTES) {
            state = State.FULL;
        }
    }

    /** Whether the response may be read now. */
    public boolean mayRead() {
        return state == State.OPEN || state == State.BUFFERING;
    }

    /** Whether the caller's connection accepts no more data. */
    public boolean isBlocked() {
        return state != State.OPEN;
    }

    /** Total time in which the caller's connection accepted no data, including a pause in progress. */
    public long pausedMillis(long nowMillis) {
        return pausedMillis + (state == State.OPEN ? 0 : Math.max(0, nowMillis - pausedSinceMillis));
    }
}
