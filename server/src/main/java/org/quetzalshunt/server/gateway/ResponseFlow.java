package org.quetzalshunt.server.gateway;

import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.quetzalshunt.core.memory.ReadPacing;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.routing.AttemptOutcome;
import org.quetzalshunt.server.http.HttpCall;
import org.quetzalshunt.server.http.HttpExchange;

/**
 * Reads a response from its endpoint at the pace at which it can be passed on: as the caller reads it, and not before
 * the caller may receive it.
 */
final class ResponseFlow {
    /** Shorter pauses occur with each response that is larger than the write watermark. */
    private static final long NOTABLE_PAUSE_MILLIS = 100;

    private final Gateway gateway;
    private final Supplier<HttpCall> call;
    private final ReadPacing pacing = new ReadPacing();
    private ScheduledFuture<?> endOfPause;
    private boolean writable = true;
    private boolean awaitingGrant;

    /**
     * Creates the flow of a request.
     *
     * @param call present call to an endpoint; null if there is none
     */
    ResponseFlow(Gateway gateway, HttpExchange exchange, Supplier<HttpCall> call) {
        this.gateway = gateway;
        this.call = call;
        exchange.onWritability(this::onWritability);
        if (!exchange.isWritable()) {
            onWritability(false);
        }
    }

    /**
     * Records whether the response may not be passed on yet although much of it is held. Guards against a response that
     * is read into memory as a whole while the store is slow to grant its tokens.
     */
    void setAwaitingGrant(boolean awaiting) {
        if (awaiting != awaitingGrant) {
            awaitingGrant = awaiting;
            update();
        }
    }

    private void onWritability(boolean nowWritable) {
        writable = nowWritable;
        update();
    }

    private void update() {
        long now = gateway.clock().now();
        if (writable && !awaitingGrant) {
            pacing.onUnblocked(now);
            cancelTimer();
        } else if (gateway.isEnabled(Mechanism.MEMORY_LIMIT) && !pacing.isBlocked()) {
            pacing.onBlocked(now);
            cancelTimer();
            endOfPause = gateway.executor().schedule(this::onPauseEnd, ReadPacing.PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
        apply();
    }

    private void onPauseEnd() {
        pacing.onTime(gateway.clock().now());
        apply();
    }

    /** Records that a part of the response was read and passed on. */
    void onRead(int bytes) {
        if (pacing.isBlocked()) {
            pacing.onRead(bytes);
            apply();
        }
    }

    private void apply() {
        Optional.ofNullable(call.get()).ifPresent(present -> present.setReading(pacing.mayRead()));
    }

    /** Whether the response is not read as fast as the endpoint sends it, because its caller reads slowly. */
    boolean isBlocked() {
        return pacing.isBlocked();
    }

    /**
     * The outcome for the endpoint's statistics. An endpoint may cut a response that is not read for long, and a stream
     * that is held back reaches its deadline; neither is a failure of the endpoint.
     */
    AttemptOutcome outcome(AttemptOutcome outcome) {
        boolean fault = outcome == AttemptOutcome.FAILED || outcome == AttemptOutcome.ERRORED;
        return fault && wasBlocked() ? AttemptOutcome.NEUTRAL : outcome;
    }

    /** Whether the response was held back for a time that can explain a failure. */
    boolean wasBlocked() {
        return pausedMillis() >= NOTABLE_PAUSE_MILLIS || pacing.isBlocked();
    }

    /** Time in which the response was held back. */
    long pausedMillis() {
        return pacing.pausedMillis(gateway.clock().now());
    }

    private void cancelTimer() {
        if (endOfPause != null) {
            endOfPause.cancel(false);
            endOfPause = null;
        }
    }
}
