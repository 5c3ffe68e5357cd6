package org.quetzalshunt.core.routing;

/** Mean of the first measurements, then a moving average of about the last twenty. */
final class RunningMean {
    static final int MAXIMUM_SAMPLES = 20;

    private double value;
    private int samples;

    void add(double measured) {
        samples = Math.min(MAXIMUM_SAMPLES, samples + 1);
        value += (measured - value) / samples;
    }

    /** The mean; 0 before the first measurement. */
    double value() {
        return value;
    }

    int samples() {
        return samples;
    }
}
