package org.quetzalshunt.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A key is withdrawn while one entry cannot hear of it. If that entry went on serving, the withdrawn key would work for
 * as long as the link is cut. If every entry stopped whenever the log does not answer, an outage of the log, in which
 * nothing can be withdrawn, would stop a whole class. The node cannot tell the two apart by itself: its peers can.
 */
final class FreshnessTest {
    private static final long LIMIT = 2_000;
    private static final long NOW = 100_000;
    private static final long OWN_NEXT = 7;

    private final Freshness freshness = Freshness.create(LIMIT);

    @ParameterizedTest
    @CsvSource({
        "500, true, reads the log",
        "2000, true, read it just in time",
        "2001, false, cut off alone",
    })
    void anOwnReadIsProofForAWhile(long readAge, boolean fresh, String ignoredCase) {
        freshness.peersListed(List.of("b", "c"));
        freshness.readToEnd(NOW - readAge);
        assertThat(freshness.fresh(NOW, OWN_NEXT)).isEqualTo(fresh);
    }

    @ParameterizedTest
    @CsvSource({
        // next of b, its read age, spoken ago, then of c
        "7, 50000, 100, 7, 50000, 100, true, a whole outage of the log",
        "7, 50000, 100, 7, 50000, 2500, false, one peer is silent",
        "7, 300, 100, 7, 50000, 2500, true, one peer reads the log and has no news",
        "7, 300, 2500, 6, 50000, 2500, false, what that peer said is old",
        "8, 300, 100, 7, 50000, 100, false, one peer has news",
        "7, 300, 100, 9, 50000, 3000, false, one peer had news before it went silent",
        "0, -1, 100, 7, 50000, 100, true, a peer was replaced during the outage",
    })
    void peersAreProofOnlyTogetherOrByTheirOwnRead(
            long nextOfB,
            long readAgeOfB,
            long spokenAgoByB,
            long nextOfC,
            long readAgeOfC,
            long spokenAgoByC,
            boolean fresh,
            String ignoredCase) {
        freshness.readToEnd(NOW - 50_000);
        freshness.peersListed(List.of("b", "c"));
        freshness.heard("b", nextOfB, readAgeOfB, NOW - spokenAgoByB);
        freshness.heard("c", nextOfC, readAgeOfC, NOW - spokenAgoByC);
        assertThat(freshness.fresh(NOW, OWN_NEXT)).isEqualTo(fresh);
    }

    @Test
    void aNodeThatHasSeenNoListTrustsNobodysSilence() {
        assertThat(freshness.fresh(NOW, OWN_NEXT)).isFalse();
        assertThat(freshness.ageMillis(NOW)).isEqualTo(-1);
        freshness.peersListed(List.of("b"));
        assertThat(freshness.fresh(NOW, OWN_NEXT)).isFalse();
        freshness.heard("b", OWN_NEXT, -1, NOW - 10);
        assertThat(freshness.fresh(NOW, OWN_NEXT)).isTrue();
        freshness.peersListed(List.of("b", "newcomer"));
        assertThat(freshness.fresh(NOW, OWN_NEXT)).isFalse();
    }
}
