package org.quetzalshunt.core.program;

/**
 * An answer as it is kept for a re-send.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body whole body
 */
public record StoredAnswer(int status, String contentType, byte[] body) {
    /** An answer that is not there. */
    public static StoredAnswer none() {
        return new StoredAnswer(0, "", new byte[0]);
    }
}
