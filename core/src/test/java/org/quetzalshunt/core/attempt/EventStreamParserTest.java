package org.quetzalshunt.core.attempt;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class EventStreamParserTest {
    private final List<String> events = new ArrayList<>();
    private final EventStreamParser parser =
            EventStreamParser.create(data -> events.add(new String(data, StandardCharsets.UTF_8)));

    // The network splits an answer wherever it likes, also within CR LF and within a character; lines end in any of
    // the three ways, comments keep a connection alive, and events of several lines are one.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 1_000})
    void eventsSplitAnywhere(int pieceBytes) {
        byte[] stream =
                ("\uFEFFdata: {\"a\":1}\r\n\r\n: alive\n\ndata:b\ndata:  c\n\nevent: x\rid: 1\rdata: d\u00e9\r\r"
                                + "data\n\ndatax: no\n\nretry: 5\ndata: [DONE]\n\ndata: never ended")
                        .getBytes(StandardCharsets.UTF_8);
        for (int start = 0; start < stream.length; start += pieceBytes) {
            byte[] piece = Arrays.copyOfRange(stream, start, Math.min(stream.length, start + pieceBytes));
            assertThat(parser.accept(piece)).isTrue();
        }
        assertThat(events)
                .containsExactly("{\"a\":1}", "b\n c", "d\u00e9", "", "[DONE]")
                .inOrder();
    }

    // An event is passed on as soon as its blank line is there, not when the next one begins.
    @ParameterizedTest
    @CsvSource({"'data: a\n\n', 1", "'data: a\n', 0", "'data: a\r\r', 1", "'data: a\r\n\r\n', 1"})
    void eventIsGivenAtOnce(String stream, int given) {
        parser.accept(stream.getBytes(StandardCharsets.UTF_8));
        assertThat(events).hasSize(given);
    }

    // An engine gone mad sends a line without end, or an event of lines without end. Memory stays bounded.
    @ParameterizedTest
    @ValueSource(strings = {"x", "data: y\n"})
    void lengthIsBounded(String piece) {
        byte[] pieces = piece.repeat(1_024).getBytes(StandardCharsets.UTF_8);
        boolean goesOn = true;
        for (int count = 0; goesOn && count < 2_000; count++) {
            goesOn = parser.accept(pieces);
        }
        assertThat(goesOn).isFalse();
        assertThat(events).isEmpty();
    }

    @Test
    void nothingIsGivenAfterTheBound() {
        parser.accept(new byte[EventStreamParser.MAXIMUM_EVENT_BYTES + 1]);
        assertThat(parser.accept("\n\ndata: a\n\n".getBytes(StandardCharsets.UTF_8)))
                .isFalse();
        assertThat(events).isEmpty();
    }
}
