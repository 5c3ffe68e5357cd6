package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class EventFramesTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 8, 13, 100})
    void octetsPassUnchangedHoweverTheyAreCut(int size) {
        String stream = "id: 0\ndata: one\n\nid: 1\r\ndata: two\r\n\r\nx: 2\nid: 2\ndata: three\n\n";
        EventFrames frames = EventFrames.create();
        StringBuilder octets = new StringBuilder();
        List<String> data = new ArrayList<>();
        for (int start = 0; start < stream.length(); start += size) {
            for (EventFrames.Frame frame :
                    frames.accept(bytes(stream.substring(start, Math.min(stream.length(), start + size))))) {
                octets.append(new String(frame.octets(), StandardCharsets.UTF_8));
                data.add(new String(frame.data(), StandardCharsets.UTF_8));
            }
        }
        assertThat(octets.toString()).isEqualTo(stream);
        assertThat(data).containsExactly("one", "two", "three").inOrder();
        assertThat(frames.incomplete()).isFalse();
        assertThat(frames.broken()).isFalse();
    }

    /** A server breaks off in the middle of an event; its caller must not see half of one. */
    @Test
    void halfAnEventIsHeldBack() {
        EventFrames frames = EventFrames.create();
        assertThat(frames.accept(bytes("id: 0\ndata: on"))).isEmpty();
        assertThat(frames.incomplete()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"id: 1\ndata: a\n\nid: 1\ndata: a\n\n", "id: 2\ndata: a\n\nid: 1\ndata: b\n\n"})
    void repeatedOrReversedIdsAreABrokenStream(String stream) {
        EventFrames frames = EventFrames.create();
        frames.accept(bytes(stream));
        assertThat(frames.broken()).isTrue();
    }
}
