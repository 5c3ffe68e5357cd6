package org.quetzalshunt.core.decision.endpoint;

/** Exponentially weighted moving average of a rate, with the time of its last sample. */
final class RateAverage {
    /**
     * Weight of one sample. Five samples move the mean by two thirds of a change and one sample by a fifth, so that
     * work moves away from a slow endpoint over some five answers and not at once.
     */
    static final double SAMPLE_WEIGHT = 0.2;

    /**
     * Half-life of the difference between an endpoint and its service. A slow endpoint gets few requests and hence few
     * samples, so without the decay it would be avoided for good after it has recovered. The half-life is longer than a
     * brief stall, and shorter than the time that an operator who repaired the endpoint is willing to wait.
     */
    static final double DIFFERENCE_HALF_LIFE_MILLIS = 30_000;

    /**
     * Difference from the mean of the service that is ignored, as a part of that mean. Over five answers to a mixture
     * of prompts, the means of equal endpoints differ by a third. Without this tolerance, each endpoint that looks fast
     * for a moment would attract all requests until it is slow.
     */
    static final double IGNORED_DIFFERENCE_PART = 0.4;

    private double mean;
    private long sampledMillis;
    private boolean sampled;

    void add(long nowMillis, double sample) {
        mean = sampled ? mean + SAMPLE_WEIGHT * (sample - mean) : sample;
        sampled = true;
        sampledMillis = nowMillis;
    }

    /** Returns the mean, which approaches the mean of the service as the last sample ages. */
    double value(long nowMillis, double serviceMean) {
        if (!sampled) {
            return serviceMean;
        }
        double decay = Math.pow(0.5, (nowMillis - sampledMillis) / DIFFERENCE_HALF_LIFE_MILLIS);
        double difference = decay * (mean - serviceMean);
        return Math.abs(difference) <= IGNORED_DIFFERENCE_PART * serviceMean ? serviceMean : serviceMean + difference;
    }

    /** Returns the mean, or the given value if there is no sample. */
    double meanOr(double otherwise) {
        return sampled ? mean : otherwise;
    }
}
