package org.quetzalshunt.core.attempt;

import java.util.Map;

/**
 * Action that the gate requests from its caller, to be performed in the order given. Frames are sent to a link; all
 * other actions concern the endpoint.
 */
public sealed interface GateOutput {
    /**
     * Send the status and headers of a response. Repeated when a receiver attaches from sequence 0.
     *
     * @param link number by which the caller of the gate identifies the receiver's link
     */
    record SendHead(long link, long attempt, int status, Map<String, String> headers) implements GateOutput {}

    /** Send one chunk of a response; sequence numbers start at 0 and have no gaps. */
    record SendChunk(long link, long attempt, int sequence, byte[] data) implements GateOutput {}

    /** Send the last frame of an attempt. */
    record SendEnd(long link, long attempt, AttemptResult result) implements GateOutput {}

    /**
     * Send the request to the endpoint.
     *
     * @param run number to put into every {@link EndpointEvent} of this run; events of an earlier run are ignored
     * @param timeoutMillis time after which the connection may be closed without a {@link StopRun}
     */
    record StartRun(AttemptOrder order, int run, long timeoutMillis) implements GateOutput {}

    /**
     * Request the missing events of a running request from the engine.
     *
     * @param fromEvent number of events already received
     */
    record ResumeRun(long attempt, int run, int fromEvent, long timeoutMillis) implements GateOutput {}

    /** Close the attempt's connection and cancel the request at an engine. */
    record StopRun(long attempt) implements GateOutput {}

    /** Free a program's cache entry, and report with {@link EndpointGate#cacheFreed}. */
    record FreeCache(String program) implements GateOutput {}

    /** List the engine's cache entries, and report with {@link EndpointGate#cacheListed}. */
    record ListCache() implements GateOutput {}
}
