package org.quetzalshunt.core.attempt;

/** Lease on a program's cache entry at the engine. A row of {@link CacheLeases}. */
final class CacheLease {
    final String program;
    int shard;
    long epoch;
    long expiresAtMillis;

    /** Whether a request to free the entry was sent after the last renewal. */
    boolean isFreeRequested;

    /** Whether a request to free the entry is still unanswered. */
    boolean isAwaitingReply;

    long retryAtMillis;
    int failedTries;

    private CacheLease(String program) {
        this.program = program;
    }

    static CacheLease of(String program) {
        return new CacheLease(program);
    }
}
