package org.quetzalshunt.core.turn;

import java.util.List;

/**
 * A stored turn whose response was complete.
 *
 * @param id id of the request that ran the turn
 * @param account client account that it belongs to
 * @param ancestors ids of the previous turns, oldest first
 * @param input body of the request
 * @param output data of the response's events, each followed by a line feed
 * @param expiresMillis time until which the record must be kept, in Unix milliseconds
 */
public record TurnRecord(
        String id, String account, List<String> ancestors, byte[] input, byte[] output, long expiresMillis) {
    /** Approximate memory use in bytes, with 64 bytes for each object in the record. */
    public int sizeBytes() {
        return input.length + output.length + 64 * (ancestors.size() + 4);
    }
}
