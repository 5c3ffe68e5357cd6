package org.quetzalshunt.core.stop;

import java.util.OptionalLong;

/**
 * The planned stop of a VM. New connections arrive until the balancer has removed the VM; requests are served until then,
 * since most of them are short. Later, only those are served whose deadline lies before the end of the stop.
 */
public final class PlannedStop {
    private final long balancerRemovalMillis;
    private final long serveMillis;
    private OptionalLong startedMillis = OptionalLong.empty();

    private PlannedStop(long balancerRemovalMillis, long serveMillis) {
        this.balancerRemovalMillis = balancerRemovalMillis;
        this.serveMillis = serveMillis;
    }

    /**
     * A stop that has not begun.
     *
     * @param balancerRemovalMillis time in which the balancer removes a stopping VM
     * @param serveMillis time after which requests in progress are ended
     */
    public static PlannedStop create(long balancerRemovalMillis, long serveMillis) {
        return new PlannedStop(balancerRemovalMillis, serveMillis);
    }

    /** Begins the stop. */
    public void begin(long nowMillis) {
        startedMillis = OptionalLong.of(nowMillis);
    }

    /** Whether the stop has begun. */
    public boolean hasBegun() {
        return startedMillis.isPresent();
    }

    /** Whether a request that arrives now may run; one that could be running at the end of the stop may not. */
    public boolean admits(long nowMillis, long deadlineMillis) {
        if (startedMillis.isEmpty() || nowMillis - startedMillis.getAsLong() < balancerRemovalMillis) {
            return true;
        }
        return deadlineMillis <= startedMillis.getAsLong() + serveMillis;
    }

    /** Time since the begin of the stop, in milliseconds; empty before it. */
    public OptionalLong sinceMillis(long nowMillis) {
        return hasBegun() ? OptionalLong.of(nowMillis - startedMillis.getAsLong()) : OptionalLong.empty();
    }
}
