package org.quetzalshunt.server.sidecar;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.quetzalshunt.core.attempt.EndpointEvent;
import org.quetzalshunt.core.memory.ResponseBudget;

/** An engine that sends an event without end. */
final class EndlessEventTest {
    private static final int CHUNK_BYTES = 64 * 1024;
    private static final int MAXIMUM_CHUNKS = 64;

    /** Guards against a run whose connection is read on after its event has exceeded the limit. */
    @Test
    void eventWithoutEndExceedsTheLimitOfItsListener() {
        List<EndpointEvent> events = new ArrayList<>();
        AttemptResponseListener listener = AttemptResponseListener.of(
                1, 1, true, events::add, ResponseBudget.ofHeap(Long.MAX_VALUE).open(), () -> {});
        listener.onHead(200, new DefaultHttpHeaders());
        int chunks = 0;
        while (!listener.exceedsLimit() && chunks < MAXIMUM_CHUNKS) {
            listener.onChunk(new byte[CHUNK_BYTES]);
            chunks++;
        }
        assertThat(listener.exceedsLimit()).isTrue();
        listener.onFailure("response exceeds the size limit", true);
        assertThat(events.get(events.size() - 1)).isInstanceOf(EndpointEvent.ResponseFailed.class);
    }
}
