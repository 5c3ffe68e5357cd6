package org.quetzalshunt.core.result;

/** The status codes of responses (RFC 9110, section 15). */
public final class ResponseStatus {
    private static final int FIRST_FINAL = 200;
    private static final int LAST = 599;

    private ResponseStatus() {}

    /** Whether a number is the status code of a final response. */
    public static boolean isFinal(int status) {
        return status >= FIRST_FINAL && status <= LAST;
    }
}
