package org.quetzalshunt.core.program;

/**
 * An HTTP response that is stored to answer repeated requests.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body complete body
 */
public record StoredAnswer(int status, String contentType, byte[] body) {
    /** Placeholder for a request without a stored response. */
    public static StoredAnswer none() {
        return new StoredAnswer(0, "", new byte[0]);
    }
}
