package org.quetzalshunt.core.store;

import java.util.List;

/** What came of asking for the records of a shard after a number. */
public sealed interface ChangesAnswer {
    /**
     * The records in their order, possibly none.
     *
     * @param next number to ask from next time
     * @param end number that the next record of the shard gets; records from next to here were left out
     */
    record Changes(List<MapEntry> entries, long next, long end) implements ChangesAnswer {}

    /** Records in between are gone; the newest of each key must be read instead. */
    record Gone() implements ChangesAnswer {}

    /** The shard could not be read. */
    record Unavailable(String reason) implements ChangesAnswer {}
}
