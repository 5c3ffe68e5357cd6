package org.quetzalshunt.core.decision.endpoint;

import org.quetzalshunt.core.decision.EndpointState;

/** Row of one endpoint: what it said, what this entry has in it, and what it was seen to deliver. */
public final class EndpointEntry {
    /** Slots assumed where an endpoint names none: a small server, since too few only costs a few windows of growth. */
    static final int DEFAULT_SLOTS = 16;

    /**
     * Age at which a report bounds this entry's own dispatches no longer. Answers lost reports: without it an
     * endpoint whose reports stop would take nothing more although it answers.
     */
    static final long REPORT_LIFETIME_MILLIS = 10_000;

    /**
     * How far an entry may go beyond its even part of the room that a report showed. Answers many entries that see
     * the same lagging report of a free endpoint: with no bound each fills it. Two, since half of the entries have
     * nothing to send at any moment below saturation.
     */
    static final int HERD_FACTOR = 2;

    private final int position;
    private final SpeedRecord speeds = new SpeedRecord();
    private final CacheHorizon horizon = new CacheHorizon();
    private EndpointState state;
    private int inFlight;
    private int inFlightAtReport;
    private int sentSinceReport;
    private long reportedMillis;
    private double limit;
    private double peak;
    private boolean slowStart;
    private FailureRecord failures = FailureRecord.none();

    private EndpointEntry(int position, EndpointState state, double limit) {
        this.position = position;
        this.state = state;
        this.limit = limit;
    }

    static EndpointEntry of(int position, EndpointState state, double limit) {
        return new EndpointEntry(position, state, limit);
    }

    /** Position in the table of its service. */
    int position() {
        return position;
    }

    /** Name of the endpoint. */
    public String name() {
        return state.name();
    }

    /** What it said last. */
    public EndpointState state() {
        return state;
    }

    /** Requests that this entry has in it. */
    public int inFlight() {
        return inFlight;
    }

    /** Requests that all entries together should have in it. */
    public double limit() {
        return limit;
    }

    /** What it was seen to deliver. */
    public SpeedRecord speeds() {
        return speeds;
    }

    /** How long its cache keeps a prefix. */
    public CacheHorizon horizon() {
        return horizon;
    }

    /** Its failures. */
    public FailureRecord failures() {
        return failures;
    }

    /** Whether it is neither leaving, unreachable nor ejected. */
    public boolean usable() {
        return !state.leaving() && state.healthy() && !failures.ejected();
    }

    /** Requests in it, as far as this entry can know: its own now, the others' as last reported. */
    public int load() {
        int others = Math.max(0, state.running() + state.waiting() - inFlightAtReport);
        return inFlight + others;
    }

    /** Slots it named. */
    public int slots() {
        return state.slots() > 0 ? state.slots() : DEFAULT_SLOTS;
    }

    /**
     * Whether one more request fits.
     *
     * @param part part of the limit that the request may use
     * @param entries entries that share the endpoint
     */
    public boolean hasRoom(long nowMillis, double part, int entries) {
        if (!usable()) {
            return false;
        }
        double usableLimit = limit * part;
        if (inFlight + 1 <= usableLimit / entries) {
            return true;
        }
        return load() + 1 <= usableLimit && !herding(nowMillis, usableLimit, entries);
    }

    private boolean herding(long nowMillis, double usableLimit, int entries) {
        if (entries == 1 || nowMillis - reportedMillis > REPORT_LIFETIME_MILLIS) {
            return false;
        }
        double roomAtReport = usableLimit - state.running() - state.waiting();
        return sentSinceReport >= Math.max(1, HERD_FACTOR * roomAtReport / entries);
    }

    void report(long nowMillis, EndpointState newState) {
        state = newState;
        reportedMillis = nowMillis;
        inFlightAtReport = inFlight;
        sentSinceReport = 0;
        limit = Math.min(limit, slots());
    }

    void started() {
        inFlight++;
        sentSinceReport++;
        peak = Math.max(peak, load());
    }

    void ended() {
        inFlight--;
    }

    double takePeak() {
        double taken = peak;
        peak = load();
        return taken;
    }

    void setLimit(double newLimit) {
        limit = newLimit;
    }

    /** Starts over from a small limit, which then grows by one with each whole answer. */
    void startSlowly(double firstLimit) {
        limit = firstLimit;
        slowStart = true;
    }

    boolean slowStart() {
        return slowStart;
    }

    void endSlowStart() {
        slowStart = false;
    }

    void setFailures(FailureRecord newFailures) {
        failures = newFailures;
    }
}
