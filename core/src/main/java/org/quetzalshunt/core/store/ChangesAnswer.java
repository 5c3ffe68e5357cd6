package org.quetzalshunt.core.store;

import java.util.List;

/** Result of {@link SharedMap#changes}. */
public sealed interface ChangesAnswer {
    /**
     * The records in the order of their offsets, possibly none.
     *
     * @param next offset from which to continue reading
     * @param end offset of the next record to be appended; records from {@code next} up to it were omitted from this
     *     page
     */
    record Changes(List<MapEntry> entries, long next, long end) implements ChangesAnswer {}

    /** Some of the requested records were compacted away; read the newest record of each key instead. */
    record Gone() implements ChangesAnswer {}

    /** The shard could not be read. */
    record Unavailable(String reason) implements ChangesAnswer {}
}
