package org.quetzalshunt.server.entry;

/** Retention of the log that the entries assume when they schedule checkpoints. */
final class LogRetention {
    /**
     * At least four checkpoints are published in this time. If the log's actual retention is shorter, processes notice
     * that it has dropped records that are not covered by their newest checkpoint, and publish one at once.
     */
    static final long ASSUMED_MILLIS = 3_600_000;

    private LogRetention() {}
}
