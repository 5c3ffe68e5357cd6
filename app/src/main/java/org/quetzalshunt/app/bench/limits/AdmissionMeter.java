package org.quetzalshunt.app.bench.limits;

import java.util.function.Consumer;

/** Compares each admission and refusal with a single token bucket for the whole fleet. */
final class AdmissionMeter {
    private final VirtualTime time;
    /** Counts actual admissions; falls below zero by the number of tokens by which a window exceeds its bound. */
    private final TokenBucket admissions;
    /** Reference bucket that decides which requests should have been admitted. */
    private final TokenBucket reference;

    private double lowestLevel;
    private long offered;
    private long admitted;
    private long wronglyRefused;

    AdmissionMeter(VirtualTime time, Limiter.Parameters parameters) {
        this.time = time;
        this.admissions = new TokenBucket(parameters.rate(), parameters.burst(), parameters.burst());
        this.reference = new TokenBucket(parameters.rate(), parameters.burst(), parameters.burst());
    }

    void request(Consumer<Consumer<Boolean>> forward) {
        offered++;
        boolean referenceAdmits = reference.tryTake(time.now());
        forward.accept(isAdmitted -> {
            if (isAdmitted) {
                admitted++;
                lowestLevel = Math.min(lowestLevel, admissions.takeUnconditionally(time.now(), 1));
            } else if (referenceAdmits) {
                wronglyRefused++;
            }
        });
    }

    double overshoot() {
        // Rounding errors of the summed doubles stay far below 1e-6, while a real overshoot is at least one whole
        // token.
        return -lowestLevel < 1e-6 ? 0 : -lowestLevel;
    }

    double wronglyRefusedShare() {
        return wronglyRefused / (double) offered;
    }

    double admittedShare() {
        return admitted / (double) offered;
    }
}
