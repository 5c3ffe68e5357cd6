package org.quetzalshunt.core.limit;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks every window at once: admissions stay within rate × t + burst in all windows exactly when a token bucket of
 * that rate and burst, full at the start, never runs below zero under them.
 */
final class WindowCheck {
    private final List<long[]> changes = new ArrayList<>();
    private final List<Long> admissions = new ArrayList<>();

    /** Notes the limits in force from a time on; while a change spreads, the larger of both. */
    void limit(long millis, long requestsPerSecond, long burst) {
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

    /** Most tokens by which any window went over its bound, in thousandths; 0 when the promise held. */
    long overshootMilliTokens() {
        long level = changes.get(0)[2] * 1_000;
        long worst = 0;
        long last = changes.get(0)[0];
        int change = 0;
        for (long millis : admissions.stream().sorted().toList()) {
            while (change + 1 < changes.size() && changes.get(change + 1)[0] <= millis) {
                long[] now = changes.get(change);
                level = Math.min(now[2] * 1_000, level + (changes.get(change + 1)[0] - last) * now[1]);
                change++;
                last = changes.get(change)[0];
            }
            long[] now = changes.get(change);
            level = Math.min(now[2] * 1_000, level + (millis - last) * now[1]) - 1_000;
            last = millis;
            worst = Math.max(worst, -level);
        }
        return worst;
    }
}
