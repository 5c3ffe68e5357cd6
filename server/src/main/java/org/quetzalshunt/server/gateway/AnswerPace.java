package org.quetzalshunt.server.gateway;

/** What one streamed answer tells of its endpoint: how long it read the prompt, and how long a token took after that. */
final class AnswerPace {
    private final Gateway gateway;
    private final int tokensPerEvent;
    private long events;
    private long firstMillis;

    AnswerPace(Gateway gateway, int tokensPerEvent) {
        this.gateway = gateway;
        this.tokensPerEvent = tokensPerEvent;
    }

    /** Events came in. */
    void events(EndpointCall call, int count) {
        if (events == 0 && count > 0) {
            firstMillis = gateway.clock().now();
            call.promptDone();
            call.choice().ifPresent(choice -> gateway.endpoints()
                    .answerBegan(choice.registration().id(), choice.missingTokens(), firstMillis - call.sentMillis()));
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
