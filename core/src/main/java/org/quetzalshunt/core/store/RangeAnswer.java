package org.quetzalshunt.core.store;

import java.util.List;

/** What came of reading the newest records of a shard. */
public sealed interface RangeAnswer {
    /**
     * The newest record of each key behind the one asked for, in the order of keys.
     *
     * @param more whether keys behind the last one were left out
     * @param end number that the next record of the shard gets
     */
    record Page(List<MapEntry> entries, boolean more, long end) implements RangeAnswer {}

    /** The shard could not be read. */
    record Unavailable(String reason) implements RangeAnswer {}
}
