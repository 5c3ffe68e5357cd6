package org.quetzalshunt.core.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class TokenSearchTest {
    private static final List<String> HOLDERS = List.of("first", "second");

    private final Map<String, TokenBucket> buckets = new HashMap<>();

    /**
     * An account of 30 requests per second and a burst of 30. The holders have two thirds and one third of it, and both
     * buckets are full.
     */
    @BeforeEach
    void fillBuckets() {
        for (String holder : HOLDERS) {
            double part = holder.equals("first") ? 20 : 10;
            TokenBucket bucket = TokenBucket.create(0);
            bucket.setLimits(0, part, part);
            buckets.put(holder, bucket);
        }
    }

    private TokenSearch.Result search(long now, long maximumWaitMillis) {
        List<TokenSearch.Result> results = new ArrayList<>();
        TokenSearch.start(
                HOLDERS,
                maximumWaitMillis,
                (holder, maximumWait, answer) ->
                        answer.accept(buckets.get(holder).reserve(now, maximumWait)),
                results::add);
        assertThat(results).hasSize(1);
        return results.get(0);
    }

    /**
     * A program starts helpers, and thirty calls of its account arrive at once, as many as its burst. Guards against
     * calls beyond the first holder's twenty tokens that wait there for future tokens while the second holder has ten
     * available. The program would be late although it kept within its quota.
     */
    @Test
    void requestDoesNotWaitWhileAnotherHolderHasTokens() {
        for (int call = 0; call < 30; call++) {
            assertThat(search(1_000, 750)).isEqualTo(new TokenSearch.Result.Granted(0));
        }
    }

    /**
     * Ten more calls, beyond the burst, wait at both holders alike: a third of a second, for ten calls at thirty per
     * second.
     */
    @Test
    void waitsAreSpreadOverTheHolders() {
        for (int call = 0; call < 30; call++) {
            search(1_000, 750);
        }
        long longest = 0;
        for (int call = 0; call < 10; call++) {
            TokenSearch.Result result = search(1_000, 750);
            assertThat(result).isInstanceOf(TokenSearch.Result.Granted.class);
            longest = Math.max(longest, ((TokenSearch.Result.Granted) result).waitMillis());
        }
        assertThat(longest).isAtMost(400);
    }

    @Test
    void noTokenIsTakenBeyondTheMaximumWait() {
        for (int call = 0; call < 30; call++) {
            search(1_000, 0);
        }
        assertThat(search(1_000, 10)).isEqualTo(new TokenSearch.Result.OverQuota(50));
        assertThat(search(1_051, 0)).isEqualTo(new TokenSearch.Result.Granted(0));
    }

    @Test
    void searchWithoutAnswersFindsNoHolder() {
        List<TokenSearch.Result> results = new ArrayList<>();
        TokenSearch.start(HOLDERS, 750, (holder, maximumWait, answer) -> answer.accept(TokenOffer.NONE), results::add);
        assertThat(results).containsExactly(new TokenSearch.Result.NoHolder());
    }
}
