package org.quetzalshunt.core.stop;

import java.util.OptionalLong;

/** The planned stop of a VM. */
public final class PlannedStop {
    private OptionalLong startedMillis = OptionalLong.empty();

    private PlannedStop() {}

    /** A stop that has not begun. */
    public static PlannedStop create() {
        return new PlannedStop();
    }

    /** Begins the stop. */
    public void begin(long nowMillis) {
        startedMillis = OptionalLong.of(nowMillis);
    }

    /** Whether the stop has begun. */
    public boolean hasBegun() {
        return startedMillis.isPresent();
    }

    /** Time since the begin of the stop, in milliseconds; empty before it. */
    public OptionalLong sinceMillis(long nowMillis) {
        return hasBegun() ? OptionalLong.of(nowMillis - startedMillis.getAsLong()) : OptionalLong.empty();
    }
}
