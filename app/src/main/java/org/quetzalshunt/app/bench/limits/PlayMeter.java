package org.quetzalshunt.app.bench.limits;

import java.util.function.Consumer;

/** Judges every admission and refusal by one bucket for the whole fleet. */
final class PlayMeter {
    private final VirtualTime time;
    /** Runs below zero by as much as the worst window is over its bound. */
    private final TokenBucket windows;
    /** What one bucket would have admitted. */
    private final TokenBucket ideal;

    private double lowest;
    private long offered;
    private long admitted;
    private long wronglyRefused;

    PlayMeter(VirtualTime time, Limiter.Shape shape) {
        this.time = time;
        this.windows = new TokenBucket(shape.rate(), shape.burst(), shape.burst());
        this.ideal = new TokenBucket(shape.rate(), shape.burst(), shape.burst());
    }

    void request(Consumer<Consumer<Boolean>> ask) {
        offered++;
        boolean hadToken = ideal.tryTake(time.now());
        ask.accept(taken -> {
            if (taken) {
                admitted++;
                lowest = Math.min(lowest, windows.take(time.now(), 1));
            } else if (hadToken) {
                wronglyRefused++;
            }
        });
    }

    double overshoot() {
        // Sums of doubles are off by far less than this; a real overshoot is a whole token.
        return -lowest < 1e-6 ? 0 : -lowest;
    }

    double wronglyRefused() {
        return wronglyRefused / (double) offered;
    }

    double admittedShare() {
        return admitted / (double) offered;
    }
}
