package org.quetzalshunt.core.attempt;

import java.util.Map;

/** What the gate wants done, in this order. Frames go to a link, the rest to the endpoint. */
public sealed interface GateOutput {
    /**
     * Status and headers of an answer. Sent again when a receiver attaches from sequence 0.
     *
     * @param link number that the caller gave to the receiver's link
     */
    record SendHead(long link, long attempt, int status, Map<String, String> headers) implements GateOutput {}

    /** One part of an answer; sequences start at 0 and have no gap. */
    record SendChunk(long link, long attempt, int sequence, byte[] data) implements GateOutput {}

    /** The last frame of an attempt. */
    record SendEnd(long link, long attempt, AttemptResult result) implements GateOutput {}

    /**
     * Send the request to the endpoint.
     *
     * @param run number that comes back in every {@link EndpointEvent}; events of a former run are void
     * @param timeoutMillis when the connection may be given up without asking
     */
    record StartRun(AttemptOrder order, int run, long timeoutMillis) implements GateOutput {}

    /**
     * Ask the engine for the events of a running request that did not come.
     *
     * @param fromEvent number of events that came before
     */
    record ResumeRun(long attempt, int run, int fromEvent, long timeoutMillis) implements GateOutput {}

    /** Close the attempt's connection and cancel the request at an engine. */
    record StopRun(long attempt) implements GateOutput {}

    /** Free a program's cache entry, and report with {@link EndpointGate#cacheFreed}. */
    record FreeCache(String program) implements GateOutput {}

    /** List the engine's cache entries, and report with {@link EndpointGate#cacheListed}. */
    record ListCache() implements GateOutput {}
}
