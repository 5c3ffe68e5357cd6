package org.quetzalshunt.core.store;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class AnswerLimitTest {
    /** A map that loses a third of its answers: the limit comes back down with the next answer. */
    @Test
    void lostAnswersCostLittle() {
        ResponseTimeout limit = ResponseTimeout.create();
        for (int call = 0; call < 30; call++) {
            if (call % 3 == 0) {
                limit.unanswered();
            } else {
                limit.answered(7);
            }
            assertThat(limit.millis()).isAtMost(600);
        }
        limit.answered(7);
        assertThat(limit.millis()).isEqualTo(150);
    }

    /** A map that answers after 240 ms: two calls fail, and from then on each is waited for. */
    @Test
    void slowMapIsWaitedFor() {
        ResponseTimeout limit = ResponseTimeout.create();
        limit.unanswered();
        assertThat(limit.millis()).isGreaterThan(240);
        for (int call = 0; call < 20; call++) {
            limit.answered(240);
            assertThat(limit.millis()).isGreaterThan(240);
        }
    }

    @Test
    void limitIsBounded() {
        ResponseTimeout limit = ResponseTimeout.create();
        for (int call = 0; call < 20; call++) {
            limit.unanswered();
        }
        assertThat(limit.millis()).isEqualTo(1_200);
    }
}
