package org.quetzalshunt.core.admission;

/** Tokens that programs of each urgency took at their start, as an amount that decays within seconds. */
final class RecentStarts {
    /** Time constant of the decay: less urgent starts leave what more urgent ones take in this time. */
    private static final double DECAY_MILLIS = 1_000;

    private final double[] tokens = new double[ProgramRequest.URGENCIES];
    private long decayedMillis;

    RecentStarts(long nowMillis) {
        this.decayedMillis = nowMillis;
    }

    void decay(long nowMillis) {
        double factor = Math.exp(-Math.max(0, nowMillis - decayedMillis) / DECAY_MILLIS);
        decayedMillis = nowMillis;
        for (int urgency = 0; urgency < tokens.length; urgency++) {
            tokens[urgency] *= factor;
        }
    }

    void add(int urgency, double amount) {
        tokens[urgency] += amount;
    }

    /** Tokens that more urgent programs took recently, and about their tokens per second. */
    double tokensOfMoreUrgent(int urgency) {
        double sum = 0;
        for (int other = 0; other < urgency; other++) {
            sum += tokens[other];
        }
        return sum;
    }
}
