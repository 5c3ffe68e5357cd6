package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class EventStreamDecoderTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 8, 13, 100})
    void bytesStayUnchangedForAnyChunkSize(int size) {
        String stream = "id: 0\ndata: one\n\nid: 1\r\ndata: two\r\n\r\nx: 2\nid: 2\ndata: three\n\n";
        EventStreamDecoder decoder = EventStreamDecoder.create();
        StringBuilder octets = new StringBuilder();
        List<String> data = new ArrayList<>();
        for (int start = 0; start < stream.length(); start += size) {
            for (EventStreamDecoder.Frame frame :
                    decoder.decode(bytes(stream.substring(start, Math.min(stream.length(), start + size))))) {
                octets.append(new String(frame.octets(), StandardCharsets.UTF_8));
                data.add(new String(frame.data(), StandardCharsets.UTF_8));
            }
        }
        assertThat(octets.toString()).isEqualTo(stream);
        assertThat(data).containsExactly("one", "two", "three").inOrder();
        assertThat(decoder.hasIncompleteEvent()).isFalse();
        assertThat(decoder.isBroken()).isFalse();
    }

    /** Guards against a caller that receives part of an event when an endpoint breaks off in the middle of one. */
    @Test
    void incompleteEventIsNotReturned() {
        EventStreamDecoder decoder = EventStreamDecoder.create();
        assertThat(decoder.decode(bytes("id: 0\ndata: on"))).isEmpty();
        assertThat(decoder.hasIncompleteEvent()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"id: 1\ndata: a\n\nid: 1\ndata: a\n\n", "id: 2\ndata: a\n\nid: 1\ndata: b\n\n"})
    void repeatedOrDecreasingIdsMarkTheStreamAsBroken(String stream) {
        EventStreamDecoder decoder = EventStreamDecoder.create();
        decoder.decode(bytes(stream));
        assertThat(decoder.isBroken()).isTrue();
    }
}
