package org.quetzalshunt.core.limit;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks all time windows at once. Admissions stay within rate × t + burst in every window exactly if a token bucket of
 * that rate and burst, full at the start, never falls below zero.
 */
final class WindowCheck {
    private final List<long[]> changes = new ArrayList<>();
    private final List<Long> admissions = new ArrayList<>();

    /** Records the limits in force from a time on; while a change spreads, the larger of both. */
    void setLimits(long millis, long requestsPerSecond, long burst) {
        changes.add(new long[] {millis, requestsPerSecond, burst});
    }

    void admitted(long millis) {
        admissions.add(millis);
    }

    void givenBack(long takenMillis) {
        admissions.remove(Long.valueOf(takenMillis));
    }

    int count() {
        return admissions.size();
    }

    /** Largest number of tokens by which a window exceeded its bound, in thousandths; 0 if the invariant held. */
    long overshootMilliTokens() {
        long level = changes.get(0)[2] * 1_000;
        long largest = 0;
        long last = changes.get(0)[0];
        int change = 0;
        for (long millis : admissions.stream().sorted().toList()) {
            while (change + 1 < changes.size() && changes.get(change + 1)[0] <= millis) {
                long[] limits = changes.get(change);
                level = Math.min(limits[2] * 1_000, level + (changes.get(change + 1)[0] - last) * limits[1]);
                change++;
                last = changes.get(change)[0];
            }
            long[] limits = changes.get(change);
            level = Math.min(limits[2] * 1_000, level + (millis - last) * limits[1]) - 1_000;
            last = millis;
            largest = Math.max(largest, -level);
        }
        return largest;
    }
}
