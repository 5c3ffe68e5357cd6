package org.quetzalshunt.core.routing;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;

/**
 * Marks endpoints whose streams are overdue, so that new work avoids them. Running requests continue, and no endpoint
 * is ejected: a mark ends by itself.
 *
 * <p>Load pattern: an engine that takes several times as long for half a second. It looks idle or usual by its mean
 * speed, and a request that meets such a phase is late. Streams are checked when an event arrives and in one periodic
 * sweep, since a timer for each stream costs too much on small VMs.
 */
public final class SlowPhases {
    /** Time between two sweeps over the running streams. */
    public static final long SWEEP_MILLIS = 50;

    /** An event is overdue after this many times the usual time of a step. */
    private static final double OVERDUE_STEPS = 3;

    /** Added to the expected time of an event: network and scheduling of the VM's event loop. */
    private static final double MARGIN_MILLIS = 10;

    /** Added latency per running request, as in {@link EndpointCost}. */
    private static final double SLOWDOWN_PER_REQUEST = 0.03;

    private final EndpointRows rows;
    private final EndpointSpeeds speeds;
    private final Set<RunningStream> running = Collections.newSetFromMap(new IdentityHashMap<>());
    private long sweptMillis = Long.MIN_VALUE / 2;
    private long marks;

    SlowPhases(EndpointRows rows, EndpointSpeeds speeds) {
        this.rows = rows;
        this.speeds = speeds;
    }

    /**
     * Starts to observe a stream, after its request was recorded as started.
     *
     * @param uncachedTokens tokens of the prompt that the endpoint has to prefill
     */
    public RunningStream start(long nowMillis, String id, long uncachedTokens, int tokensPerEvent) {
        boolean queued = rows.find(id).map(row -> row.load() > row.slots()).orElse(true);
        RunningStream stream = new RunningStream(id, tokensPerEvent, uncachedTokens, queued, nowMillis);
        running.add(stream);
        return stream;
    }

    /** Stops to observe a stream that has ended or whose events are not being read. */
    public void end(RunningStream stream) {
        running.remove(stream);
    }

    /** Records that events of a stream arrived. */
    public void onEvents(long nowMillis, RunningStream stream) {
        rows.find(stream.endpoint).ifPresent(row -> onEvents(nowMillis, row, stream));
        stream.lastMillis = nowMillis;
        stream.prefillTokens = 0;
        stream.queued = false;
    }

    private void onEvents(long nowMillis, EndpointRow row, RunningStream stream) {
        if (isStalled(nowMillis)) {
            return;
        }
        if (isOverdue(nowMillis, row, stream)) {
            mark(nowMillis, row, stream);
        } else if (stream.prefillTokens == 0 && !stream.queued) {
            row.slowPhase.recordInTime(nowMillis);
        }
    }

    /** Marks the endpoints of overdue streams. Called every {@link #SWEEP_MILLIS}. */
    public void sweep(long nowMillis) {
        if (isStalled(nowMillis)) {
            long stalledMillis = nowMillis - sweptMillis;
            running.forEach(stream -> stream.lastMillis = Math.min(nowMillis, stream.lastMillis + stalledMillis));
            sweptMillis = nowMillis;
            return;
        }
        sweptMillis = nowMillis;
        for (RunningStream stream : running) {
            rows.find(stream.endpoint)
                    .filter(row -> isOverdue(nowMillis, row, stream))
                    .ifPresent(row -> mark(nowMillis, row, stream));
        }
    }

    /**
     * Whether this VM itself was stalled, so that events may have waited here. Guards against marks of all endpoints
     * after a pause of a small VM.
     */
    private boolean isStalled(long nowMillis) {
        return nowMillis - sweptMillis > 2 * SWEEP_MILLIS;
    }

    private boolean isOverdue(long nowMillis, EndpointRow row, RunningStream stream) {
        double stepMillis = stepMillis(row, stream);
        return !stream.queued
                && stepMillis > 0
                && nowMillis - stream.lastMillis > dueAfterMillis(row, stream, stepMillis);
    }

    /** Usual time of a step with the present load; 0 if unknown. */
    private double stepMillis(EndpointRow row, RunningStream stream) {
        return stream.tokensPerEvent
                * row.paces.millisPerToken()
                * (1 + SLOWDOWN_PER_REQUEST * Math.min(row.load(), row.slots()));
    }

    private double dueAfterMillis(EndpointRow row, RunningStream stream, double stepMillis) {
        // The prefill of another prompt stalls all streams of an engine.
        long prefillTokens = row.prefillBacklogTokens + row.peersPrefillBacklogTokens + stream.prefillTokens;
        double prefillMillis = prefillTokens * speeds.prefillMillisPerToken(row);
        return MARGIN_MILLIS + OVERDUE_STEPS * stepMillis + prefillMillis;
    }

    private void mark(long nowMillis, EndpointRow row, RunningStream stream) {
        long sinceMillis = stream.lastMillis + (long) stepMillis(row, stream);
        marks += row.slowPhase.mark(nowMillis, sinceMillis) ? 1 : 0;
    }

    /** Number of marks since the start. */
    public long marks() {
        return marks;
    }

    /** Ids of the endpoints that are marked now. */
    public List<String> marked(long nowMillis) {
        return rows.all().stream()
                .filter(row -> row.slowPhase.isMarked(nowMillis))
                .map(row -> row.registration.id())
                .toList();
    }

    /** Usual length of the slow phases of an endpoint. */
    public double usualMillis(String id) {
        return rows.find(id).map(row -> row.slowPhase.usualMillis()).orElse(0.0);
    }

    /** Endpoints without a mark, unless none of them has a free slot. */
    static List<EndpointRow> withoutMarked(long nowMillis, List<EndpointRow> candidates) {
        List<EndpointRow> unmarked = candidates.stream()
                .filter(row -> !row.slowPhase.isMarked(nowMillis))
                .toList();
        boolean anyFree = unmarked.stream().anyMatch(row -> row.load() < row.slots());
        return anyFree ? unmarked : candidates;
    }
}
