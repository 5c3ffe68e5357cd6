package org.quetzalshunt.core.store;

import java.util.List;
import java.util.Optional;

/** Result of {@link SharedMap#range}. */
public sealed interface RangeAnswer {
    /**
     * The newest record of each key greater than the requested key, in the order of keys.
     *
     * @param entries records that belong to the map; others may lie between them
     * @param continuation key after which the next page begins; empty if there are no further keys
     * @param end offset of the next record to be appended to the shard
     */
    record Page(List<MapEntry> entries, Optional<String> continuation, long end) implements RangeAnswer {
        /** Creates a page of a shard all of whose records belong to the map. */
        public static Page of(List<MapEntry> entries, boolean more, long end) {
            boolean continues = more && !entries.isEmpty();
            return new Page(
                    entries,
                    continues ? Optional.of(entries.get(entries.size() - 1).key()) : Optional.empty(),
                    end);
        }
    }

    /** The shard could not be read. */
    record Unavailable(String reason) implements RangeAnswer {}
}
