package org.quetzalshunt.server.entry;

/** What the entries take the log's retention to be. */
final class LogRetention {
    /**
     * Sets how often state is published anew: at least four times in this span, in milliseconds. Where the log keeps
     * records for less, processes see it drop what their newest checkpoint needs, and publish at once.
     */
    static final long MILLIS = 3_600_000;

    private LogRetention() {}
}
