package org.quetzalshunt.server.gateway;

import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.routing.Selection;

/** Measures the prefill time of an endpoint and its time per output token, by one streamed response. */
final class GenerationMeter {
    private final Gateway gateway;
    private final int tokensPerEvent;
    private long events;
    private long firstEventMillis;

    GenerationMeter(Gateway gateway, int tokensPerEvent) {
        this.gateway = gateway;
        this.tokensPerEvent = tokensPerEvent;
    }

    /** Counts received events; the first event ends the prefill. */
    void onEvents(EndpointCall call, int count) {
        if (events == 0 && count > 0) {
            firstEventMillis = gateway.clock().now();
            call.markPrefillDone();
            call.selection().ifPresent(selection -> recordFirstEvent(selection, firstEventMillis - call.sentMillis()));
        }
        events += count;
        if (count > 0) {
            call.markEvents();
        }
    }

    private void recordFirstEvent(Selection selection, long tookMillis) {
        String id = selection.registration().id();
        gateway.endpoints().onFirstEvent(id, selection.uncachedTokens(), tookMillis);
        if (measuresSpeeds()) {
            gateway.endpoints().speeds().recordFirstEvent(id, selection.uncachedTokens(), tokensPerEvent, tookMillis);
        }
    }

    private boolean measuresSpeeds() {
        return gateway.isEnabled(Mechanism.SPEED_SAMPLING) || gateway.isEnabled(Mechanism.SLOWDOWN_DETECTION);
    }

    /** Reports the generation time of a completed response. */
    void onEnd(EndpointCall call) {
        if (call.flow().wasBlocked()) {
            // The time was determined by the caller.
            return;
        }
        long tokens = Math.max(0, events - 1) * tokensPerEvent;
        long tookMillis = gateway.clock().now() - firstEventMillis;
        call.endpoint().ifPresent(endpoint -> {
            gateway.endpoints().recordGeneration(endpoint.id(), tokens, tookMillis);
            if (measuresSpeeds()) {
                gateway.endpoints().speeds().recordGeneration(endpoint.id(), tokens, tookMillis);
            }
        });
    }
}
