package org.quetzalshunt.core.routing;

/**
 * State of one endpoint: its registration, this VM's and its peers' load on it, its latency, its failures and its
 * prefix cache.
 */
final class EndpointRow {
    /** Weight of the newest latency in the moving average, which covers about the last ten requests. */
    private static final double LATENCY_WEIGHT = 0.1;

    /** Weight of the newest answer in the average time per token, which covers about the last twenty answers. */
    private static final double TOKEN_TIME_WEIGHT = 0.05;

    /** Weight of the newest outcome in the failure rate, which covers about the last seven requests. */
    private static final double OUTCOME_WEIGHT = 0.15;

    /**
     * Half-life of the failure rate in the absence of new outcomes. An endpoint that gets no requests is retried after
     * some four seconds: soon enough to use it once it has recovered, rarely enough while it has not.
     */
    private static final double FAILURE_HALF_LIFE_MILLIS = 2_000;

    /** A failure rate below this costs less than a tenth of a millisecond and counts as zero. */
    private static final double NEGLIGIBLE_RATE = 0.005;

    /**
     * Weight of a failure rate that a peer reported. Requests from this VM may still succeed, for example when a link
     * between two data centres is bad; since the cost is quadratic in the rate, the weighted cost is about half.
     */
    private static final double PEER_RATE_WEIGHT = 0.7;

    /** Weight of the newest request in the mean number of tokens, which covers about the last twenty requests. */
    private static final double WORK_TOKENS_WEIGHT = 0.05;

    private static final long INITIAL_EJECTION_MILLIS = 300;
    private static final long MAXIMUM_EJECTION_MILLIS = 4_000;

    final PrefixCache prefixCache = new PrefixCache();
    final ColdStartLimiter coldStart = new ColdStartLimiter();
    final EndpointPaces paces = new EndpointPaces();
    final SlowPhase slowPhase = new SlowPhase();
    Registration registration;
    int inFlight;
    int peersInFlight;
    /** Tokens of prompt and maximum output of this VM's requests in flight. */
    long workTokens;

    /** Mean tokens of this VM's requests here, by which those of peers are estimated. */
    private double meanWorkTokens;

    double latencyMillis;
    /** Prompt tokens sent to the endpoint by this VM that it has not prefilled yet. */
    long prefillBacklogTokens;

    /** Prompt tokens sent to the endpoint by peers that it has not prefilled yet. */
    long peersPrefillBacklogTokens;
    /** Capacity of the prefix cache in tokens; unknown until the first prompt is sent. */
    long memoryTokens = Long.MAX_VALUE;

    long ejectedUntilMillis = Long.MIN_VALUE / 2;
    long fullUntilMillis = Long.MIN_VALUE / 2;
    long removalMillis = Long.MAX_VALUE;
    private double millisPerToken;
    private int failures;
    private double failureRate;
    private long failureRateMillis;
    private double peersFailureRate;
    private long peersFailureRateMillis;

    EndpointRow(Registration registration, double latencyMillis) {
        this.registration = registration;
        this.latencyMillis = latencyMillis;
    }

    /** Requests of this VM and its peers in flight. */
    int load() {
        return inFlight + peersInFlight;
    }

    int slots() {
        return Math.max(1, registration.slots());
    }

    /** Adds the tokens of a request that starts, or subtracts those of one that ends. */
    void addWork(long tokens) {
        workTokens = Math.max(0, workTokens + tokens);
        if (tokens > 0) {
            meanWorkTokens =
                    meanWorkTokens == 0 ? tokens : meanWorkTokens + WORK_TOKENS_WEIGHT * (tokens - meanWorkTokens);
        }
    }

    /**
     * Whether another request fits into the endpoint beside those in flight. The tokens of peers' requests are not
     * known; they are assumed to be the mean of this VM's.
     */
    boolean canHold(long tokens, long capacityTokens) {
        double peersMean = meanWorkTokens > 0 ? meanWorkTokens : tokens;
        return workTokens + peersInFlight * peersMean + tokens <= capacityTokens;
    }

    void recordSuccess(long nowMillis, long tookMillis) {
        failures = 0;
        ejectedUntilMillis = Long.MIN_VALUE / 2;
        latencyMillis += LATENCY_WEIGHT * (tookMillis - latencyMillis);
        recordOutcome(nowMillis, 0);
    }

    /** Updates the average time per token with that of one answer. */
    void recordTokenTime(double millisForToken) {
        millisPerToken = hasTokenTime()
                ? millisPerToken + TOKEN_TIME_WEIGHT * (millisForToken - millisPerToken)
                : millisForToken;
    }

    /** Whether the time per token has been measured. */
    boolean hasTokenTime() {
        return millisPerToken > 0;
    }

    double millisPerToken() {
        return millisPerToken;
    }

    /** Counts an error answer or a missing answer. The latency is not updated, because errors are fast. */
    void recordError(long nowMillis) {
        recordOutcome(nowMillis, 1);
    }

    void recordFailure(long nowMillis) {
        recordOutcome(nowMillis, 1);
        long ejectionMillis = Math.min(MAXIMUM_EJECTION_MILLIS, INITIAL_EJECTION_MILLIS << Math.min(failures, 10));
        failures++;
        ejectedUntilMillis = nowMillis + ejectionMillis;
    }

    private void recordOutcome(long nowMillis, double failure) {
        double present = decayed(nowMillis, failureRate, failureRateMillis);
        failureRate = present + OUTCOME_WEIGHT * (failure - present);
        failureRateMillis = nowMillis;
    }

    /**
     * Records a failure rate that a peer reported for this endpoint. Only the highest reported rate is stored, and it
     * decays like this VM's own rate.
     */
    void recordPeerFailureRate(long nowMillis, double rate) {
        double present = decayed(nowMillis, peersFailureRate, peersFailureRateMillis);
        if (rate > present) {
            peersFailureRate = rate;
            peersFailureRateMillis = nowMillis;
        }
    }

    /** Recent share of this VM's own requests that failed here. */
    double ownFailureRate(long nowMillis) {
        return decayed(nowMillis, failureRate, failureRateMillis);
    }

    /** This VM's own failure rate or the weighted rate of its peers, whichever is higher. */
    double failureRate(long nowMillis) {
        double peersRate = PEER_RATE_WEIGHT * decayed(nowMillis, peersFailureRate, peersFailureRateMillis);
        return Math.max(ownFailureRate(nowMillis), peersRate);
    }

    private static double decayed(long nowMillis, double rate, long sinceMillis) {
        if (rate < NEGLIGIBLE_RATE) {
            return 0;
        }
        return rate * Math.pow(0.5, Math.max(0, nowMillis - sinceMillis) / FAILURE_HALF_LIFE_MILLIS);
    }

    /** Clears the cache contents, the speed and the failures of the previous process after a restart under the same id. */
    void resetAfterRestart() {
        prefixCache.clear();
        paces.clear();
        slowPhase.clear();
        prefillBacklogTokens = 0;
        failureRate = 0;
        peersFailureRate = 0;
        failures = 0;
        ejectedUntilMillis = Long.MIN_VALUE / 2;
        fullUntilMillis = Long.MIN_VALUE / 2;
    }
}
