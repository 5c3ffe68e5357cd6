package org.quetzalshunt.core.decision.endpoint;

import org.quetzalshunt.core.decision.Finish;

/** Speed of one endpoint, per answer, as whole answers showed it. */
public final class SpeedRecord {
    /** Answers in one window of the concurrency limit: enough to smooth one odd answer, few enough for seconds. */
    static final int WINDOW = 8;

    /** Shortest answer whose decoding speed means anything: below it the clock's millisecond is a tenth of it. */
    private static final long SHORTEST_ANSWER_TOKENS = 8;

    /** Shortest uncached prompt whose time to first token says how fast prompts are computed. */
    private static final long SHORTEST_PROMPT_TOKENS = 64;

    /** Load, in parts of the limit, up to which an answer's speed counts as unloaded. */
    private static final double UNLOADED_PART = 0.3;

    /** Weight of one unloaded answer that is slower than believed: some fifty move the belief by two thirds. */
    private static final double UNLOADED_WEIGHT = 0.02;

    private final Speedometer decode = new Speedometer();
    private final Speedometer prefill = new Speedometer();
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

    /** Speed of an answer when the endpoint has few. */
    double unloaded() {
        return unloaded;
    }

    /** Takes in a whole answer; true when it completes a window. */
    boolean add(long nowMillis, Finish finish, double loadPart, ServiceSpeed service) {
        addPrefill(nowMillis, finish, service);
        long decodeMillis = finish.durationMillis() - finish.timeToFirstTokenMillis();
        boolean plain = finish.promptTokens() == 0;
        if (decodeMillis <= 0 || (!plain && finish.outputTokens() < SHORTEST_ANSWER_TOKENS)) {
            return false;
        }
        double speed = Math.max(1, finish.outputTokens()) * 1_000.0 / decodeMillis;
        decode.add(nowMillis, speed);
        service.addDecode(nowMillis, speed);
        learnUnloaded(loadPart);
        windowSum += speed;
        windowCount++;
        return windowCount >= WINDOW;
    }

    private void addPrefill(long nowMillis, Finish finish, ServiceSpeed service) {
        long uncached = finish.promptTokens() - finish.cachedTokens();
        if (uncached < SHORTEST_PROMPT_TOKENS || finish.timeToFirstTokenMillis() <= 0) {
            return;
        }
        double speed = uncached * 1_000.0 / finish.timeToFirstTokenMillis();
        prefill.add(nowMillis, speed);
        service.addPrefill(nowMillis, speed);
    }

    private void learnUnloaded(double loadPart) {
        double present = decode.raw(0);
        if (present > unloaded) {
            unloaded = present;
        } else if (loadPart <= UNLOADED_PART) {
            unloaded += UNLOADED_WEIGHT * (present - unloaded);
        }
    }

    /** Mean speed of the window, which starts anew. */
    double takeWindow() {
        double mean = windowSum / Math.max(1, windowCount);
        windowSum = 0;
        windowCount = 0;
        return mean;
    }
}
