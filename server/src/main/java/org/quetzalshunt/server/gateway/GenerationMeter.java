package org.quetzalshunt.server.gateway;

/** Measures an endpoint by one streamed answer: prefill time, and time per token after it. */
final class GenerationMeter {
    private final Gateway gateway;
    private final int tokensPerEvent;
    private long events;
    private long firstMillis;

    GenerationMeter(Gateway gateway, int tokensPerEvent) {
        this.gateway = gateway;
        this.tokensPerEvent = tokensPerEvent;
    }

    /** Events came in. */
    void events(EndpointCall call, int count) {
        if (events == 0 && count > 0) {
            firstMillis = gateway.clock().now();
            call.prefillDone();
            call.choice().ifPresent(choice -> gateway.endpoints()
                    .onFirstEvent(
                            choice.registration().id(), choice.uncachedTokens(), firstMillis - call.sentMillis()));
        }
        events += count;
    }

    /** The answer came whole. */
    void ended(EndpointCall call) {
        long tokens = Math.max(0, events - 1) * tokensPerEvent;
        long took = gateway.clock().now() - firstMillis;
        call.endpoint().ifPresent(endpoint -> gateway.endpoints().generated(endpoint.id(), tokens, took));
    }
}
