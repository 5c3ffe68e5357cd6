package org.quetzalshunt.core.store;

/** What came of an append. */
public sealed interface AppendAnswer {
    /** The records are kept; the shard now ends here. */
    record Appended(long end) implements AppendAnswer {}

    /** Nothing was done, because the shard does not end where the append expected. */
    record Conflict(long end) implements AppendAnswer {}

    /** Nothing was done. */
    record Refused(String reason) implements AppendAnswer {}

    /** No answer: done, not done, or done later if its condition still holds then. */
    record Unknown(String reason) implements AppendAnswer {}
}
