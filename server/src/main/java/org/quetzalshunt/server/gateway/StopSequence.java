package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.core.stop.PlannedStop;
import org.quetzalshunt.server.http.HttpServer;

/**
 * Graceful shutdown of a gateway: reports "not ready" at once, serves new requests until the balancer has removed this VM,
 * closes idle connections, and ends when the last request has its response. Requests that are in progress shortly before
 * the stop timeout get a response that says whether they may have run.
 */
final class StopSequence {
    /**
     * Time until the balancer has removed a VM that is not ready: it probes once a second and removes a VM after two
     * failed probes.
     */
    private static final long BALANCER_REMOVAL_MILLIS = 2_600;

    /** Part of the stop timeout that is reserved for sending the last responses. */
    private static final long LAST_RESPONSES_MILLIS = 700;

    /** Part of the stop timeout that is reserved for the end of the process. */
    private static final long EXIT_MILLIS = 200;

    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final EventExecutor executor;
    private final Gateway gateway;
    private final HttpServer callers;
    private final long stopMillis;
    private final Runnable endHeartbeats;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private boolean completing;
    private boolean leftFleet;

    private StopSequence(
            EventExecutor executor, Gateway gateway, HttpServer callers, long stopMillis, Runnable endHeartbeats) {
        this.executor = executor;
        this.gateway = gateway;
        this.callers = callers;
        this.stopMillis = stopMillis;
        this.endHeartbeats = endHeartbeats;
    }

    /**
     * Creates the sequence of a gateway that has not begun to stop.
     *
     * @param stopMillis maximum duration of the stop
     * @param endHeartbeats gives up the lease of this VM
     */
    static StopSequence create(
            EventExecutor executor, Gateway gateway, HttpServer callers, long stopMillis, Runnable endHeartbeats) {
        return new StopSequence(executor, gateway, callers, stopMillis, endHeartbeats);
    }

    /** The times of a stop that takes the given time at most. */
    static PlannedStop plan(long stopMillis) {
        return PlannedStop.create(BALANCER_REMOVAL_MILLIS, serveMillis(stopMillis));
    }

    private static long serveMillis(long stopMillis) {
        return Math.max(0, stopMillis - LAST_RESPONSES_MILLIS);
    }

    /** Begins the stop; the future completes when the process may end. Further calls have no effect. */
    CompletableFuture<Void> begin() {
        executor.execute(() -> {
            if (gateway.stop().hasBegun()) {
                return;
            }
            gateway.stop().begin(gateway.clock().now());
            gateway.starts().stop(gateway);
            StopReport.write(gateway.log(), "stop", callers);
            long serveMillis = serveMillis(stopMillis);
            schedule(this::closeIdleUntilEnd, Math.min(BALANCER_REMOVAL_MILLIS, serveMillis));
            schedule(this::endRequests, serveMillis);
            schedule(this::complete, Math.max(0, stopMillis - EXIT_MILLIS));
        });
        return stopped;
    }

    private void schedule(Runnable step, long delayMillis) {
        executor.schedule(step, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void closeIdleUntilEnd() {
        callers.stopAccepting();
        callers.closeIdle();
        if (callers.connections() == 0) {
            complete();
            return;
        }
        schedule(this::closeIdleUntilEnd, CHECK_INTERVAL_MILLIS);
    }

    /** Ends the requests in progress; their connections close once the responses are sent. */
    private void endRequests() {
        if (!completing) {
            StopReport.write(gateway.log(), "stop-ends-requests", callers);
            callers.endPending();
            leaveFleet();
        }
    }

    private void complete() {
        if (completing) {
            return;
        }
        completing = true;
        StopReport.write(gateway.log(), "stopped", callers);
        leaveFleet();
        schedule(() -> stopped.complete(null), CHECK_INTERVAL_MILLIS);
    }

    private void leaveFleet() {
        if (!leftFleet) {
            leftFleet = true;
            gateway.quotas().stop();
            endHeartbeats.run();
        }
    }
}
