package org.quetzalshunt.standin.control;

import java.util.Locale;

/** State of a run. */
public enum RunState {
    RUNNING,
    DONE,
    CANCELLED,
    /** The request was executed completely or in part, and its connection was closed before the end of the response. */
    CUT;

    /** Name in {@code GET /standin/runs}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
