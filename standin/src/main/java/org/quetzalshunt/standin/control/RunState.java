package org.quetzalshunt.standin.control;

import java.util.Locale;

/** How far a run came. */
public enum RunState {
    RUNNING,
    DONE,
    CANCELLED,
    /** The run was executed, in whole or in part, and its connection was closed before the answer ended. */
    CUT;

    /** Name in {@code GET /standin/runs}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
