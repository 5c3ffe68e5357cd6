package org.quetzalshunt.server.entry;

import java.util.Map;

/**
 * Receives the events of one attempt: at most one head, chunks in order without gaps, then exactly one outcome. After
 * {@link AttemptTracker#cancel}, no method is called.
 */
interface AttemptListener {
    void onHead(int status, Map<String, String> headers);

    void onChunk(byte[] data);

    /** Bytes of the response that are held until its end. */
    long heldBytes();

    void onOutcome(AttemptOutcome outcome);
}
