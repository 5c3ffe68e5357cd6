package org.quetzalshunt.core.decision.endpoint;

import org.quetzalshunt.core.decision.EndpointState;

/**
 * State of one endpoint as seen by this entry: the endpoint's last report, the requests in flight from this entry, the
 * concurrency limit, and the measured speed, cache horizon and failures.
 */
public final class TrackedEndpoint {
    /**
     * Slots assumed for an endpoint that does not report them. This is a small server, since too low a number only
     * costs a few windows until the limit has grown.
     */
    static final int DEFAULT_SLOTS = 16;

    /**
     * Age at which a report no longer limits the dispatches of this entry. If the reports of an endpoint are lost, it
     * would otherwise get no more requests although it answers.
     */
    static final long REPORT_LIFETIME_MILLIS = 10_000;

    /**
     * Factor by which an entry may exceed its equal share of the free capacity in a report. Without a limit, all
     * entries that see the same outdated report of a free endpoint would fill it. The factor is two, because below
     * saturation half of the entries have nothing to send at any moment.
     */
    static final int REPORT_SHARE_FACTOR = 2;

    private final int position;
    private final SpeedRecord speeds = new SpeedRecord();
    private final CacheHorizon horizon = new CacheHorizon();
    private EndpointState state;
    private int inFlight;
    private int inFlightAtReport;
    private int sentSinceReport;
    private long reportedMillis;
    private double limit;
    private double peakLoad;
    private boolean slowStart;
    private FailureRecord failures = FailureRecord.none();

    private TrackedEndpoint(int position, EndpointState state, double limit) {
        this.position = position;
        this.state = state;
        this.limit = limit;
    }

    static TrackedEndpoint of(int position, EndpointState state, double limit) {
        return new TrackedEndpoint(position, state, limit);
    }

    /** Index in the table of its service. */
    int position() {
        return position;
    }

    /** Name of the endpoint. */
    public String name() {
        return state.name();
    }

    /** Last reported state. */
    public EndpointState state() {
        return state;
    }

    /** Requests in flight from this entry. */
    public int inFlight() {
        return inFlight;
    }

    /** Concurrency limit for the requests of all entries. */
    public double limit() {
        return limit;
    }

    /** Measured speeds. */
    public SpeedRecord speeds() {
        return speeds;
    }

    /** Estimate of how long its cache keeps a prefix. */
    public CacheHorizon horizon() {
        return horizon;
    }

    /** Failures and ejections. */
    public FailureRecord failures() {
        return failures;
    }

    /** Whether it accepts work: it is not shutting down, its sidecar can reach it, and it is not ejected. */
    public boolean usable() {
        return !state.leaving() && state.healthy() && !failures.ejected();
    }

    /**
     * Estimated number of requests in flight: the current number from this entry plus the last reported number from the
     * others.
     */
    public int load() {
        int othersInFlight = Math.max(0, state.running() + state.waiting() - inFlightAtReport);
        return inFlight + othersInFlight;
    }

    /** Reported slots, or the default. */
    public int slots() {
        return state.slots() > 0 ? state.slots() : DEFAULT_SLOTS;
    }

    /**
     * Whether the endpoint has capacity for one more request.
     *
     * @param part part of the limit that the request may use
     * @param entries number of entries that share the endpoint
     */
    public boolean hasCapacity(long nowMillis, double part, int entries) {
        if (!usable()) {
            return false;
        }
        double usableLimit = limit * part;
        if (inFlight + 1 <= usableLimit / entries) {
            return true;
        }
        return load() + 1 <= usableLimit && !exceedsShareOfReport(nowMillis, usableLimit, entries);
    }

    private boolean exceedsShareOfReport(long nowMillis, double usableLimit, int entries) {
        if (entries == 1 || nowMillis - reportedMillis > REPORT_LIFETIME_MILLIS) {
            return false;
        }
        double capacityAtReport = usableLimit - state.running() - state.waiting();
        return sentSinceReport >= Math.max(1, REPORT_SHARE_FACTOR * capacityAtReport / entries);
    }

    void recordReport(long nowMillis, EndpointState newState) {
        state = newState;
        reportedMillis = nowMillis;
        inFlightAtReport = inFlight;
        sentSinceReport = 0;
        limit = Math.min(limit, slots());
    }

    void recordStart() {
        inFlight++;
        sentSinceReport++;
        peakLoad = Math.max(peakLoad, load());
    }

    void recordEnd() {
        inFlight--;
    }

    double takePeakLoad() {
        double maximumLoad = peakLoad;
        peakLoad = load();
        return maximumLoad;
    }

    void setLimit(double newLimit) {
        limit = newLimit;
    }

    /** Resets the limit to a small value, which then grows by one with each complete answer. */
    void beginSlowStart(double firstLimit) {
        limit = firstLimit;
        slowStart = true;
    }

    boolean isSlowStart() {
        return slowStart;
    }

    void endSlowStart() {
        slowStart = false;
    }

    void setFailures(FailureRecord newFailures) {
        failures = newFailures;
    }
}
