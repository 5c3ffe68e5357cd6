package org.quetzalshunt.core.store;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class ResponseTimeoutTest {
    /** Guards against a timeout that stays high after lost answers. The store loses a third of all answers. */
    @Test
    void timeoutRecoversAfterLostAnswers() {
        ResponseTimeout limit = ResponseTimeout.create();
        for (int call = 0; call < 30; call++) {
            if (call % 3 == 0) {
                limit.recordFailure();
            } else {
                limit.recordLatency(7);
            }
            assertThat(limit.millis()).isAtMost(600);
        }
        limit.recordLatency(7);
        assertThat(limit.millis()).isEqualTo(150);
    }

    /**
     * Guards against calls that always time out at a slow store. It answers after 240 ms, the first timeout is 150 ms.
     */
    @Test
    void timeoutAdaptsToASlowStore() {
        ResponseTimeout limit = ResponseTimeout.create();
        limit.recordFailure();
        assertThat(limit.millis()).isGreaterThan(240);
        for (int call = 0; call < 20; call++) {
            limit.recordLatency(240);
            assertThat(limit.millis()).isGreaterThan(240);
        }
    }

    @Test
    void timeoutIsBounded() {
        ResponseTimeout limit = ResponseTimeout.create();
        for (int call = 0; call < 20; call++) {
            limit.recordFailure();
        }
        assertThat(limit.millis()).isEqualTo(1_200);
    }
}
