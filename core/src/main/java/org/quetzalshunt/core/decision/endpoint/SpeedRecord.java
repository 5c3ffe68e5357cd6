package org.quetzalshunt.core.decision.endpoint;

import org.quetzalshunt.core.decision.FinishedAttempt;

/** Speeds of one endpoint, measured on complete answers. */
public final class SpeedRecord {
    /**
     * Answers per window of the concurrency limit: enough to smooth out one untypical answer, yet few enough for a
     * window of seconds.
     */
    static final int WINDOW = 8;

    /**
     * Minimum length of an answer to measure the decoding speed. For shorter answers, the clock resolution of a
     * millisecond is a tenth of the measured time.
     */
    private static final long MINIMUM_ANSWER_TOKENS = 8;

    /** Minimum uncached prompt length to measure the prefill speed by the time to the first token. */
    private static final long MINIMUM_PROMPT_TOKENS = 64;

    /** Load, as a part of the limit, up to which an answer counts as unloaded. */
    private static final double UNLOADED_PART = 0.3;

    /**
     * Weight of an unloaded answer that is slower than the estimate; some fifty of them move the estimate by two thirds
     * of the difference.
     */
    private static final double UNLOADED_WEIGHT = 0.02;

    private final RateAverage decode = new RateAverage();
    private final RateAverage prefill = new RateAverage();
    private double windowSum;
    private int windowCount;
    private double unloaded;

    SpeedRecord() {}

    /** Output tokens per second of one answer. */
    public double decodePerSecond(long nowMillis, ServiceSpeed service) {
        return decode.value(nowMillis, service.decodePerSecond());
    }

    /** Prompt tokens per second until the first token. */
    public double prefillPerSecond(long nowMillis, ServiceSpeed service) {
        return prefill.value(nowMillis, service.prefillPerSecond());
    }

    /** Output tokens per second of one answer when the endpoint has few requests. */
    double unloaded() {
        return unloaded;
    }

    /** Adds the measurements of a complete answer; true if it completes a window. */
    boolean add(long nowMillis, FinishedAttempt finish, double loadPart, ServiceSpeed service) {
        addPrefill(nowMillis, finish, service);
        long decodeMillis = finish.durationMillis() - finish.timeToFirstTokenMillis();
        boolean withoutPrompt = finish.promptTokens() == 0;
        if (decodeMillis <= 0 || (!withoutPrompt && finish.outputTokens() < MINIMUM_ANSWER_TOKENS)) {
            return false;
        }
        double speed = Math.max(1, finish.outputTokens()) * 1_000.0 / decodeMillis;
        decode.add(nowMillis, speed);
        service.addDecode(nowMillis, speed);
        updateUnloaded(loadPart);
        windowSum += speed;
        windowCount++;
        return windowCount >= WINDOW;
    }

    private void addPrefill(long nowMillis, FinishedAttempt finish, ServiceSpeed service) {
        long uncached = finish.promptTokens() - finish.cachedTokens();
        if (uncached < MINIMUM_PROMPT_TOKENS || finish.timeToFirstTokenMillis() <= 0) {
            return;
        }
        double speed = uncached * 1_000.0 / finish.timeToFirstTokenMillis();
        prefill.add(nowMillis, speed);
        service.addPrefill(nowMillis, speed);
    }

    private void updateUnloaded(double loadPart) {
        double current = decode.meanOr(0);
        if (current > unloaded) {
            unloaded = current;
        } else if (loadPart <= UNLOADED_PART) {
            unloaded += UNLOADED_WEIGHT * (current - unloaded);
        }
    }

    /** Returns the mean speed of the window and starts a new one. */
    double takeWindowMean() {
        double mean = windowSum / Math.max(1, windowCount);
        windowSum = 0;
        windowCount = 0;
        return mean;
    }
}
