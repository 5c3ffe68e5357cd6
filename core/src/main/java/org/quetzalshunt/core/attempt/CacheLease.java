package org.quetzalshunt.core.attempt;

/** Right of one program to hold its cache entry at the engine. A row of {@link CacheLeases}. */
final class CacheLease {
    final String program;
    int shard;
    long epoch;
    long expiresMillis;
    boolean freeing;
    boolean asked;
    long nextTryMillis;
    int tries;

    private CacheLease(String program) {
        this.program = program;
    }

    static CacheLease of(String program) {
        return new CacheLease(program);
    }
}
