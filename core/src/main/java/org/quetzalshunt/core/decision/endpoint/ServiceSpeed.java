package org.quetzalshunt.core.decision.endpoint;

/** Mean speeds over all endpoints of a service, used for endpoints that have not been measured yet. */
public final class ServiceSpeed {
    /**
     * Assumed before the first answer: an average engine. Only its ratio to the next constant matters, and only
     * slightly.
     */
    private static final double INITIAL_DECODE_PER_SECOND = 40;

    /** Assumed before the first answer: prefill is some hundred times as fast as decoding one answer. */
    private static final double INITIAL_PREFILL_PER_SECOND = 4_000;

    private final RateAverage decode = new RateAverage();
    private final RateAverage prefill = new RateAverage();

    ServiceSpeed() {}

    /** Output tokens per second of one answer. */
    public double decodePerSecond() {
        return decode.meanOr(INITIAL_DECODE_PER_SECOND);
    }

    /** Prompt tokens per second until the first token. */
    public double prefillPerSecond() {
        return prefill.meanOr(INITIAL_PREFILL_PER_SECOND);
    }

    void addDecode(long nowMillis, double sample) {
        decode.add(nowMillis, sample);
    }

    void addPrefill(long nowMillis, double sample) {
        prefill.add(nowMillis, sample);
    }
}
