package org.quetzalshunt.server.entry;

import java.util.Map;

/** Hears one attempt: perhaps a head, chunks in order and without gaps, then exactly one outcome. */
interface AttemptListener {
    void onHead(int status, Map<String, String> headers);

    void onChunk(byte[] data);

    void onOutcome(AttemptOutcome outcome);
}
