package org.quetzalshunt.core.store;

import java.util.List;

/** Result of a read of a shard's records from a given number on. */
public sealed interface ChangesAnswer {
    /**
     * The records in the order of their numbers, possibly none.
     *
     * @param next number from which to continue reading
     * @param end number of the next record to be appended; records from {@code next} up to it were omitted from this
     *     page
     */
    record Changes(List<MapEntry> entries, long next, long end) implements ChangesAnswer {}

    /** Some of the requested records were compacted away; read the newest record of each key instead. */
    record Gone() implements ChangesAnswer {}

    /** The shard could not be read. */
    record Unavailable(String reason) implements ChangesAnswer {}
}
