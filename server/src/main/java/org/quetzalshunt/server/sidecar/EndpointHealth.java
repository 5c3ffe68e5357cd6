package org.quetzalshunt.server.sidecar;

import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalshunt.core.document.ServiceKind;

/**
 * Tracks whether the endpoint accepts work, and its load. An engine is polled for its load. A plain service has no
 * request that is known to be free of side effects, so its health is derived from the calls that it receives.
 */
final class EndpointHealth {
    /** A single failure may be transient; three in a row mean that the endpoint is down. */
    private static final int FAILURES_TO_UNHEALTHY = 3;

    /** Time for which a plain service that failed repeatedly receives no calls; the next call after it is the probe. */
    private static final long PLAIN_RETRY_DELAY_MILLIS = 2_000;

    private final boolean isEngine;
    private final SidecarTimes times;
    private final Consumer<EndpointLoad> loadListener;
    private EndpointLoad load = EndpointLoad.UNKNOWN;
    private int failures;
    private boolean hasAnswered;
    private boolean pollInFlight;
    private long lastPollMillis;
    private long blockedUntilMillis;

    EndpointHealth(ServiceKind kind, SidecarTimes times, Consumer<EndpointLoad> loadListener) {
        this.loadListener = loadListener;
        this.isEngine = kind == ServiceKind.ENGINE;
        this.times = times;
    }

    EndpointLoad load() {
        return load;
    }

    boolean isHealthy(long nowMillis) {
        if (isEngine) {
            return hasAnswered && failures < FAILURES_TO_UNHEALTHY;
        }
        return nowMillis >= blockedUntilMillis;
    }

    /** Polls the engine for its load when the interval has passed. */
    void tick(EngineClient client, boolean working, long nowMillis) {
        long interval = working || !hasAnswered || failures > 0 ? times.loadPollMillis() : times.idlePollMillis();
        if (!isEngine || pollInFlight || nowMillis - lastPollMillis < interval) {
            return;
        }
        pollInFlight = true;
        lastPollMillis = nowMillis;
        client.fetchLoad(this::onLoad);
    }

    /** Records the result of a call to a plain service: an answer began, or the call failed. */
    void onPlainCall(boolean answered, long nowMillis) {
        failures = answered ? 0 : failures + 1;
        if (answered) {
            blockedUntilMillis = 0;
        } else if (failures >= FAILURES_TO_UNHEALTHY) {
            blockedUntilMillis = nowMillis + PLAIN_RETRY_DELAY_MILLIS;
        }
    }

    private void onLoad(Optional<EndpointLoad> answer) {
        pollInFlight = false;
        if (answer.isEmpty()) {
            failures++;
            return;
        }
        hasAnswered = true;
        failures = 0;
        load = answer.get();
        loadListener.accept(load);
    }
}
