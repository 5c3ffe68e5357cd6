package org.quetzalshunt.core.turn;

import java.util.List;

/**
 * A stored turn whose response was complete. A record never changes.
 *
 * @param id id of the request that ran the turn
 * @param account client account that it belongs to
 * @param ancestors ids of the previous turns, oldest first
 * @param input body of the request
 * @param output data of the response's events, each followed by a line feed
 * @param expiresMillis time until which the record must be kept, in Unix milliseconds
 * @param copiedAncestors number of ancestors, oldest first, that are stored again, see {@link ChainRetention}
 */
public record TurnRecord(
        String id,
        String account,
        List<String> ancestors,
        byte[] input,
        byte[] output,
        long expiresMillis,
        int copiedAncestors) {
    /** Approximate memory use in bytes, with 64 bytes for each object in the record. */
    public int sizeBytes() {
        return input.length + output.length + 64 * (ancestors.size() + 4);
    }

    /**
     * Id of the turn beside which the first {@code copied} ancestors are stored again: the ancestor that follows them,
     * or this turn if none follows.
     */
    public String holderOfCopies(int copied) {
        return copied < ancestors.size() ? ancestors.get(copied) : id;
    }
}
