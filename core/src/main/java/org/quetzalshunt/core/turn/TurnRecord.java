package org.quetzalshunt.core.turn;

import java.util.List;

/**
 * A turn that ended whole.
 *
 * @param id id of the request
 * @param account client account that it belongs to
 * @param ancestors ids of the turns before it, oldest first
 * @param input what the caller sent
 * @param output data of its events, a line feed after each
 * @param expiresMillis time of day until which it must be kept, in Unix milliseconds
 */
public record TurnRecord(
        String id, String account, List<String> ancestors, byte[] input, byte[] output, long expiresMillis) {
    /** Bytes that the record holds on to, for bounds on memory. */
    public int weight() {
        return input.length + output.length + 64 * (ancestors.size() + 4);
    }
}
