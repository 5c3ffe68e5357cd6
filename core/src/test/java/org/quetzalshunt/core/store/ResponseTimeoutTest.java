package org.quetzalshunt.core.store;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class ResponseTimeoutTest {
    /** Guards against a timeout that stays high after lost answers. The store loses a third of all answers. */
    @Test
    void timeoutRecoversAfterLostAnswers() {
        ResponseTimeout timeout = ResponseTimeout.create();
        for (int call = 0; call < 30; call++) {
            if (call % 3 == 0) {
                timeout.unanswered();
            } else {
                timeout.answered(7);
            }
            assertThat(timeout.millis()).isAtMost(600);
        }
        timeout.answered(7);
        assertThat(timeout.millis()).isEqualTo(150);
    }

    /**
     * Guards against calls that always time out at a slow store. It answers after 240 ms, the first timeout is 150 ms.
     */
    @Test
    void timeoutAdaptsToASlowStore() {
        ResponseTimeout timeout = ResponseTimeout.create();
        timeout.unanswered();
        assertThat(timeout.millis()).isGreaterThan(240);
        for (int call = 0; call < 20; call++) {
            timeout.answered(240);
            assertThat(timeout.millis()).isGreaterThan(240);
        }
    }

    @Test
    void timeoutIsBounded() {
        ResponseTimeout timeout = ResponseTimeout.create();
        for (int call = 0; call < 20; call++) {
            timeout.unanswered();
        }
        assertThat(timeout.millis()).isEqualTo(1_200);
    }
}
