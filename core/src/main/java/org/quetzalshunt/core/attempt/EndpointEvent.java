package org.quetzalshunt.core.attempt;

import java.util.Map;
import java.util.Optional;

/** What came of a request at the endpoint. Each names attempt and run, so that late ones of a former run are void. */
public sealed interface EndpointEvent {
    /** Id of the attempt. */
    long attempt();

    /** Number of the run, from {@link GateOutput.StartRun} or {@link GateOutput.ResumeRun}. */
    int run();

    /** Status and the headers worth passing on. */
    record Head(long attempt, int run, int status, Map<String, String> headers) implements EndpointEvent {}

    /** One event of a stream, or a part of any other body. */
    record Data(long attempt, int run, byte[] data) implements EndpointEvent {}

    /** What the engine said about the answer as a whole. */
    record Counted(long attempt, int run, Optional<TokenUsage> usage, Optional<String> finishReason)
            implements EndpointEvent {}

    /** The stream's own end mark came. */
    record Done(long attempt, int run) implements EndpointEvent {}

    /** The HTTP answer ended whole. */
    record Closed(long attempt, int run) implements EndpointEvent {}

    /**
     * No whole HTTP answer will come.
     *
     * @param mayHaveArrived false only when no byte of the request can have reached the endpoint
     */
    record Failed(long attempt, int run, boolean mayHaveArrived) implements EndpointEvent {}
}
