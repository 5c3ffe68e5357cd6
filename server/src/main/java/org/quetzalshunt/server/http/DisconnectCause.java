package org.quetzalshunt.server.http;

import java.util.Locale;

/** Why a server disconnects a caller to limit the memory that it holds. */
public enum DisconnectCause {
    /** The caller read nothing of its response for too long. */
    SLOW("the caller read nothing for too long"),
    /** The memory was exhausted, and the caller held the most of it. */
    MEMORY("the memory was exhausted and the caller held the most");

    private final String detail;

    DisconnectCause(String detail) {
        this.detail = detail;
    }

    /** Name in metrics and logs. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Explanation for the log. */
    public String detail() {
        return detail;
    }
}
