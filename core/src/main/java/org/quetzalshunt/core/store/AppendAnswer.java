package org.quetzalshunt.core.store;

/** Result of an append to a shard. */
public sealed interface AppendAnswer {
    /** The records were stored; {@code end} is the new end of the shard. */
    record Appended(long end) implements AppendAnswer {}

    /** Nothing was stored, because the shard ends at {@code end} and not where the append expected. */
    record Conflict(long end) implements AppendAnswer {}

    /** Nothing was stored. */
    record Refused(String reason) implements AppendAnswer {}

    /**
     * No answer. The records may be stored already, may never be stored, or may be stored later if the condition still
     * holds then.
     */
    record Unknown(String reason) implements AppendAnswer {}
}
