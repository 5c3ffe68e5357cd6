package org.quetzalshunt.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests that arrive while a node reads a change of the configuration. */
final class CatchUpQueueTest {
    private final CatchUpQueue queue = CatchUpQueue.create();
    private final List<String> results = new ArrayList<>();

    private CatchUpQueue.Request request(String name) {
        return new CatchUpQueue.Request() {
            @Override
            public void proceed() {
                results.add(name + " proceeds");
            }

            @Override
            public void refuse() {
                results.add(name + " refused");
            }
        };
    }

    /** Guards against a request that waits on after its read has ended, and against one that waits without limit. */
    @ParameterizedTest
    @CsvSource({
        "FRESH, 10, a proceeds",
        "STALE, 10, a refused",
        "CATCHING_UP, 1000, a refused",
    })
    void aWaitEndsWithTheReadOrAtItsLimit(ConfigurationStatus status, long afterMillis, String result) {
        assertThat(queue.offer(0, request("a"))).isTrue();
        queue.tick(afterMillis - 1, ConfigurationStatus.CATCHING_UP);
        assertThat(results).isEmpty();
        queue.tick(afterMillis, status);
        assertThat(results).containsExactly(result);
        assertThat(queue.size()).isEqualTo(0);
    }

    /** Guards against requests that use up the memory of a node while it catches up. */
    @Test
    void aFullQueueRefusesFurtherRequests() {
        int accepted = 0;
        while (queue.offer(0, request("a"))) {
            accepted++;
        }
        assertThat(queue.size()).isEqualTo(accepted);
        assertThat(accepted).isAtMost(400);
    }
}
