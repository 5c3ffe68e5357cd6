package org.quetzalshunt.core.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class TokenBucketTest {
    private static TokenBucket full(double rate, double capacity) {
        TokenBucket bucket = TokenBucket.create(-100_000);
        bucket.setLimits(-100_000, rate, capacity);
        return bucket;
    }

    @Test
    void newBucketStartsEmpty() {
        TokenBucket bucket = TokenBucket.create(0);
        bucket.setLimits(0, 10, 100);
        assertThat(bucket.take(0)).isFalse();
        assertThat(bucket.take(100)).isTrue();
        assertThat(bucket.take(100)).isFalse();
    }

    @Test
    void smallerCapacityDiscardsExcessTokens() {
        TokenBucket bucket = full(10, 100);
        bucket.setLimits(0, 1, 2);
        assertThat(bucket.take(0)).isTrue();
        assertThat(bucket.take(0)).isTrue();
        assertThat(bucket.take(0)).isFalse();
    }

    @Test
    void callsBeyondTheBurstWaitInOrder() {
        TokenBucket bucket = full(10, 2);
        List<TokenOffer> offers = new ArrayList<>();
        for (int call = 0; call < 6; call++) {
            offers.add(bucket.reserve(0, 250));
        }
        assertThat(offers)
                .containsExactly(
                        TokenOffer.taken(0),
                        TokenOffer.taken(0),
                        TokenOffer.taken(100),
                        TokenOffer.taken(200),
                        TokenOffer.unavailableFor(300),
                        TokenOffer.unavailableFor(300))
                .inOrder();
    }

    /** Guards against reservations that admit more requests in any time span than the rate and the burst allow. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noTimeSpanExceedsRateAndBurst(long seed) {
        Random random = new Random(seed);
        TokenBucket bucket = full(20, 15);
        List<Long> starts = new ArrayList<>();
        for (long now = 0; now < 20_000; now += random.nextInt(random.nextInt(10) == 0 ? 400 : 25)) {
            long moment = now;
            TokenOffer offer = bucket.reserve(now, random.nextInt(700));
            if (offer.taken()) {
                starts.add(moment + offer.waitMillis());
            }
        }
        starts.sort(Long::compare);
        for (int first = 0; first < starts.size(); first++) {
            for (int last = first; last < starts.size(); last++) {
                double span = (starts.get(last) - starts.get(first)) / 1_000.0;
                assertThat((double) (last - first + 1)).isAtMost(20 * span + 15 + 1);
            }
        }
    }
}
