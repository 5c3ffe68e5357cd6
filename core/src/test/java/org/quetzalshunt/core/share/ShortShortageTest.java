package org.quetzalshunt.core.share;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Shortages of some 100 ms, which bursts of starts cause at any load. */
final class ShortShortageTest {
    private final ShareFixture fixture = new ShareFixture(20);

    @BeforeEach
    void startInCalm() {
        fixture.setShort(false);
        fixture.start("a", 40);
        fixture.start("b", 4);
        fixture.advance(3_000);
    }

    /** Guards against refusals in a short shortage, and in several ones that follow each other closely. */
    @ParameterizedTest
    @CsvSource({"50, 100", "100, 300", "150, 350", "300, 2000"})
    void shortShortagesRefuseNobody(long shortMillis, long freeMillis) {
        for (int i = 0; i < 20; i++) {
            fixture.setShort(true);
            fixture.advance(shortMillis);
            assertThat(fixture.isAboveShare("a")).isFalse();
            fixture.setShort(false);
            fixture.advance(freeMillis);
        }
    }

    /** An account is held to its share, and use is reported to peers, only while no slot is free. */
    @Test
    void aLastingShortageRefusesUntilSlotsAreFree() {
        assertThat(fixture.shares.report(fixture.now, 32)).isEmpty();
        fixture.setShort(true);
        fixture.advance(150);
        assertThat(fixture.shares.report(fixture.now, 32).get(ShareFixture.SERVICE))
                .containsKey("a");
        fixture.advance(350);
        assertThat(fixture.isAboveShare("a")).isTrue();
        assertThat(fixture.isAboveShare("b")).isFalse();
        fixture.setShort(false);
        assertThat(fixture.isAboveShare("a")).isFalse();
        fixture.advance(1_500);
        assertThat(fixture.shares.report(fixture.now, 32)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"9000, 0", "9000, 0.999", "600, 0", "600, 0.999", "-100, 0.5"})
    void returnsAreSpreadWithinAThirdOfTheRemainingTime(long leftMillis, double random) {
        fixture.setShort(true);
        fixture.advance(500);
        long millis = fixture.shares.retryAfterMillis(fixture.now, ShareFixture.SERVICE, "a", leftMillis, random);
        assertThat(millis).isAtLeast(leftMillis <= 0 ? 0L : 100L);
        assertThat(millis).isAtMost(Math.max(0, leftMillis / 3));
    }
}
