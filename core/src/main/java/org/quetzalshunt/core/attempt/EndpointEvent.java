package org.quetzalshunt.core.attempt;

import java.util.Map;
import java.util.Optional;

/**
 * Event of a request at the endpoint. The attempt and run numbers identify the request, so that late events of an
 * earlier run are ignored.
 */
public sealed interface EndpointEvent {
    /** Id of the attempt. */
    long attempt();

    /** Number of the run, from {@link GateOutput.StartRun} or {@link GateOutput.ResumeRun}. */
    int run();

    /** Response status, with the headers that are forwarded to the receiver. */
    record Head(long attempt, int run, int status, Map<String, String> headers) implements EndpointEvent {}

    /** One event of an event stream, or one part of any other response body. */
    record Data(long attempt, int run, byte[] data) implements EndpointEvent {}

    /** Token usage and finish reason that the engine reported for the response. */
    record ResponseMetadata(long attempt, int run, Optional<TokenUsage> usage, Optional<String> finishReason)
            implements EndpointEvent {}

    /** The end marker of the event stream arrived. */
    record EndMarker(long attempt, int run) implements EndpointEvent {}

    /** The HTTP response is complete according to its framing. */
    record ResponseEnded(long attempt, int run) implements EndpointEvent {}

    /**
     * The HTTP response will not be completed.
     *
     * @param mayHaveArrived false only when no byte of the request can have reached the endpoint
     */
    record ResponseFailed(long attempt, int run, boolean mayHaveArrived) implements EndpointEvent {}
}
