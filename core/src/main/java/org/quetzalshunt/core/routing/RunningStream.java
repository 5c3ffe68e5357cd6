package org.quetzalshunt.core.routing;

/** A stream of events that an endpoint is sending, as {@link SlowPhases} sees it. */
public final class RunningStream {
    final String endpoint;
    final int tokensPerEvent;
    /** Tokens that the endpoint prefills for this stream; 0 once the first event has arrived. */
    long prefillTokens;
    /** Whether the stream had to wait for a slot when it was sent, so that its first event has no expected time. */
    boolean queued;
    /** Time of the last event, or of sending the request. */
    long lastMillis;

    RunningStream(String endpoint, int tokensPerEvent, long prefillTokens, boolean queued, long sentMillis) {
        this.endpoint = endpoint;
        this.tokensPerEvent = tokensPerEvent;
        this.prefillTokens = prefillTokens;
        this.queued = queued;
        this.lastMillis = sentMillis;
    }
}
