package org.quetzalshunt.core.endpoint;

/** One endpoint: what it said, what runs there for this VM, and how it has done lately. */
final class EndpointRow {
    /** Weight of the newest latency in the average: about the last ten requests count. */
    private static final double LATENCY_WEIGHT = 0.1;

    private static final long FIRST_PENALTY_MILLIS = 300;
    private static final long LONGEST_PENALTY_MILLIS = 4_000;

    Registration registration;
    int inFlight;
    int othersInFlight;
    double latencyMillis;
    long suspectUntilMillis = Long.MIN_VALUE / 2;
    long fullUntilMillis = Long.MIN_VALUE / 2;
    long removedMillis = Long.MAX_VALUE;
    private int failures;

    EndpointRow(Registration registration, double latencyMillis) {
        this.registration = registration;
        this.latencyMillis = latencyMillis;
    }

    void succeeded(long tookMillis) {
        failures = 0;
        suspectUntilMillis = Long.MIN_VALUE / 2;
        latencyMillis += LATENCY_WEIGHT * (tookMillis - latencyMillis);
    }

    void failed(long nowMillis) {
        long penalty = Math.min(LONGEST_PENALTY_MILLIS, FIRST_PENALTY_MILLIS << Math.min(failures, 10));
        failures++;
        suspectUntilMillis = nowMillis + penalty;
    }

    /** Forgets what its former life earned. */
    void restarted() {
        failures = 0;
        suspectUntilMillis = Long.MIN_VALUE / 2;
        fullUntilMillis = Long.MIN_VALUE / 2;
    }
}
