package org.quetzalshunt.server.sidecar;

import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalshunt.core.document.ServiceKind;

/**
 * Whether the endpoint takes work, and its load. An engine is asked for it; a plain service has no question that is
 * free of effects, so it is judged by the calls that it gets.
 */
final class EndpointHealth {
    /** One lost answer is a hiccup; three in a row are an endpoint that is gone. */
    private static final int FAILURES_TO_UNHEALTHY = 3;

    /** How long a plain service that cannot be reached gets nothing, until the next call tries it. */
    private static final long PLAIN_REST_MILLIS = 2_000;

    private final boolean engine;
    private final SidecarTimes times;
    private final Consumer<EndpointLoad> whenAnswered;
    private EndpointLoad load = EndpointLoad.UNKNOWN;
    private int failures;
    private boolean answered;
    private boolean asking;
    private long lastPollMillis;
    private long restsUntilMillis;

    EndpointHealth(ServiceKind kind, SidecarTimes times, Consumer<EndpointLoad> whenAnswered) {
        this.whenAnswered = whenAnswered;
        this.engine = kind == ServiceKind.ENGINE;
        this.times = times;
    }

    EndpointLoad load() {
        return load;
    }

    boolean isHealthy(long nowMillis) {
        if (engine) {
            return answered && failures < FAILURES_TO_UNHEALTHY;
        }
        return nowMillis >= restsUntilMillis;
    }

    /** Asks the engine when it is time. */
    void tick(EngineClient client, boolean working, long nowMillis) {
        long interval = working || !answered || failures > 0 ? times.loadPollMillis() : times.idlePollMillis();
        if (!engine || asking || nowMillis - lastPollMillis < interval) {
            return;
        }
        asking = true;
        lastPollMillis = nowMillis;
        client.load(this::onLoad);
    }

    /** A call to a plain service could not connect, or got an answer. */
    void onPlainCall(boolean reached, long nowMillis) {
        failures = reached ? 0 : failures + 1;
        if (reached) {
            restsUntilMillis = 0;
        } else if (failures >= FAILURES_TO_UNHEALTHY) {
            restsUntilMillis = nowMillis + PLAIN_REST_MILLIS;
        }
    }

    private void onLoad(Optional<EndpointLoad> answer) {
        asking = false;
        if (answer.isEmpty()) {
            failures++;
            return;
        }
        answered = true;
        failures = 0;
        load = answer.get();
        whenAnswered.accept(load);
    }
}
