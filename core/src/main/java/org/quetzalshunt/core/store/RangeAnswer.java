package org.quetzalshunt.core.store;

import java.util.List;

/** Result of {@link SharedMap#range}. */
public sealed interface RangeAnswer {
    /**
     * The newest record of each key greater than the requested key, in the order of keys.
     *
     * @param more whether there are further keys after the last one of this page
     * @param end offset of the next record to be appended to the shard
     */
    record Page(List<MapEntry> entries, boolean more, long end) implements RangeAnswer {}

    /** The shard could not be read. */
    record Unavailable(String reason) implements RangeAnswer {}
}
