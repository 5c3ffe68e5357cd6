package org.quetzalshunt.core.decision.endpoint;

/** Exponentially weighted mean of a rate, with the time of its last sample. */
final class Speedometer {
    /**
     * Weight of one sample. Answers a slow endpoint: five samples move the mean by two thirds of a change, so work
     * moves over some five answers and not at once; one slow answer moves it by a fifth.
     */
    static final double SAMPLE_WEIGHT = 0.2;

    /**
     * Time after which half of what sets an endpoint apart from its service is forgotten. Answers the endpoint that
     * recovered: it gets few requests, hence few samples, and without forgetting it would stay shunned for good.
     * Longer than a stutter, shorter than the patience of an operator who repaired it.
     */
    static final double FORGET_HALF_LIFE_MILLIS = 30_000;

    /**
     * Difference from the service's mean that counts as none, as a part of that mean. Answers noise: endpoints that
     * are alike differ by a third in the mean of five answers under a mixture of prompts, and without this each one
     * that looks fast for a moment draws the work of all until it is slow.
     */
    static final double SERVICE_LIKE_PART = 0.4;

    private double mean;
    private long sampledMillis;
    private boolean sampled;

    void add(long nowMillis, double sample) {
        mean = sampled ? mean + SAMPLE_WEIGHT * (sample - mean) : sample;
        sampled = true;
        sampledMillis = nowMillis;
    }

    /** The mean, drawn towards the given one of the service as the last sample grows old. */
    double value(long nowMillis, double serviceMean) {
        if (!sampled) {
            return serviceMean;
        }
        double kept = Math.pow(0.5, (nowMillis - sampledMillis) / FORGET_HALF_LIFE_MILLIS);
        double difference = kept * (mean - serviceMean);
        return Math.abs(difference) <= SERVICE_LIKE_PART * serviceMean ? serviceMean : serviceMean + difference;
    }

    double raw(double otherwise) {
        return sampled ? mean : otherwise;
    }
}
