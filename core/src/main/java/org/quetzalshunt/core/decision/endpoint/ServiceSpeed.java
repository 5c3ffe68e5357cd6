package org.quetzalshunt.core.decision.endpoint;

/** Mean speeds over all endpoints of a service, for endpoints of which nothing is known yet. */
public final class ServiceSpeed {
    /** Before any answer: a middling engine; only its ratio to the next constant matters, and that little. */
    private static final double FIRST_DECODE_PER_SECOND = 40;

    /** Before any answer: prompts some hundred times as fast as one answer. */
    private static final double FIRST_PREFILL_PER_SECOND = 4_000;

    private final Speedometer decode = new Speedometer();
    private final Speedometer prefill = new Speedometer();

    ServiceSpeed() {}

    /** Output tokens per second of one answer. */
    public double decodePerSecond() {
        return decode.raw(FIRST_DECODE_PER_SECOND);
    }

    /** Prompt tokens per second until the first token. */
    public double prefillPerSecond() {
        return prefill.raw(FIRST_PREFILL_PER_SECOND);
    }

    void addDecode(long nowMillis, double sample) {
        decode.add(nowMillis, sample);
    }

    void addPrefill(long nowMillis, double sample) {
        prefill.add(nowMillis, sample);
    }
}
