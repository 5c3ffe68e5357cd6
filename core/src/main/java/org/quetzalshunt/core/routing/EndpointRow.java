package org.quetzalshunt.core.routing;

/** One endpoint: what it said, what runs there for this VM, and how it has done lately. */
final class EndpointRow {
    /** Weight of the newest latency in the average: about the last ten requests count. */
    private static final double LATENCY_WEIGHT = 0.1;

    /** Weight of the newest run in the time for a token: about the last twenty count. */
    private static final double PACE_WEIGHT = 0.05;

    /** Weight of the newest outcome in the share of failures: about the last seven requests count. */
    private static final double OUTCOME_WEIGHT = 0.15;

    /**
     * In this time a share of failures that nothing confirms falls to half, so that an endpoint that was left alone is
     * tried again after some four seconds: soon enough to use it once it is sound, seldom enough while it is not.
     */
    private static final double FAILURE_HALF_LIFE_MILLIS = 2_000;

    /** A share below this costs less than a tenth of a millisecond, and is taken for none. */
    private static final double NEGLIGIBLE_RATE = 0.005;

    /** What fails for others may serve here, as when a link between two data centres is bad: it costs about half. */
    private static final double PEERS_WEIGHT = 0.7;

    private static final long FIRST_PENALTY_MILLIS = 300;
    private static final long LONGEST_PENALTY_MILLIS = 4_000;

    final PrefixCache prompts = new PrefixCache();
    final ColdStartLimiter coldStart = new ColdStartLimiter();
    Registration registration;
    int inFlight;
    int peersInFlight;
    double latencyMillis;
    /** Tokens of prompts that were sent there and not read yet, by this VM and by others. */
    long prefillBacklogTokens;

    long peersPrefillBacklogTokens;
    /** Tokens that its memory holds; not known before its first prompt. */
    long memoryTokens = Long.MAX_VALUE;

    long ejectedUntilMillis = Long.MIN_VALUE / 2;
    long fullUntilMillis = Long.MIN_VALUE / 2;
    long removedMillis = Long.MAX_VALUE;
    private double millisPerToken;
    private int failures;
    private double failureRate;
    private long failureRateMillis;
    private double peersFailureRate;
    private long peersFailureMillis;

    EndpointRow(Registration registration, double latencyMillis) {
        this.registration = registration;
        this.latencyMillis = latencyMillis;
    }

    void succeeded(long nowMillis, long tookMillis) {
        failures = 0;
        ejectedUntilMillis = Long.MIN_VALUE / 2;
        latencyMillis += LATENCY_WEIGHT * (tookMillis - latencyMillis);
        outcome(nowMillis, 0);
    }

    /** It generated an answer at this pace. */
    void generated(double millisForToken) {
        millisPerToken =
                generates() ? millisPerToken + PACE_WEIGHT * (millisForToken - millisPerToken) : millisForToken;
    }

    /** Whether its pace is known. */
    boolean generates() {
        return millisPerToken > 0;
    }

    double millisPerToken() {
        return millisPerToken;
    }

    /** It answered with a failure, or not in time. The time that this took is no latency: errors are quick. */
    void errored(long nowMillis) {
        outcome(nowMillis, 1);
    }

    void failed(long nowMillis) {
        outcome(nowMillis, 1);
        long penalty = Math.min(LONGEST_PENALTY_MILLIS, FIRST_PENALTY_MILLIS << Math.min(failures, 10));
        failures++;
        ejectedUntilMillis = nowMillis + penalty;
    }

    private void outcome(long nowMillis, double failed) {
        double present = decayed(nowMillis, failureRate, failureRateMillis);
        failureRate = present + OUTCOME_WEIGHT * (failed - present);
        failureRateMillis = nowMillis;
    }

    /** Another VM said which share of its requests fails here; the worst that was said counts, and fades likewise. */
    void onPeerFailureRates(long nowMillis, double share) {
        double present = decayed(nowMillis, peersFailureRate, peersFailureMillis);
        if (share > present) {
            peersFailureRate = share;
            peersFailureMillis = nowMillis;
        }
    }

    /** Share of this VM's own requests that fail here, as seen lately. */
    double ownFailureRate(long nowMillis) {
        return decayed(nowMillis, failureRate, failureRateMillis);
    }

    /** The same, or what another VM said where that weighs more. */
    double failureRate(long nowMillis) {
        double others = PEERS_WEIGHT * decayed(nowMillis, peersFailureRate, peersFailureMillis);
        return Math.max(ownFailureRate(nowMillis), others);
    }

    private static double decayed(long nowMillis, double share, long sinceMillis) {
        if (share < NEGLIGIBLE_RATE) {
            return 0;
        }
        return share * Math.pow(0.5, Math.max(0, nowMillis - sinceMillis) / FAILURE_HALF_LIFE_MILLIS);
    }

    /** Forgets what its former life earned. */
    void restarted() {
        prompts.clear();
        prefillBacklogTokens = 0;
        failureRate = 0;
        peersFailureRate = 0;
        failures = 0;
        ejectedUntilMillis = Long.MIN_VALUE / 2;
        fullUntilMillis = Long.MIN_VALUE / 2;
    }
}
