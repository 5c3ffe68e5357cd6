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

    // The network may split the stream anywhere, also within CR LF and within a character. Lines end in LF, CR
    // or CR LF, comments serve as keep-alives, and several data lines form one event.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 1_000})
    void eventsAreParsedHoweverTheInputIsSplit(int pieceBytes) {
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

    // An event must be emitted as soon as its blank line arrives, not when the next event begins.
    @ParameterizedTest
    @CsvSource({"'data: a\n\n', 1", "'data: a\n', 0", "'data: a\r\r', 1", "'data: a\r\n\r\n', 1"})
    void eventIsEmittedAtItsBlankLine(String stream, int emitted) {
        parser.accept(stream.getBytes(StandardCharsets.UTF_8));
        assertThat(events).hasSize(emitted);
    }

    // Lines and events above the size limit must be rejected, so that a faulty engine cannot exhaust the memory.
    @ParameterizedTest
    @ValueSource(strings = {"x", "data: y\n"})
    void lineOrEventAboveTheLimitIsRejected(String piece) {
        byte[] pieces = piece.repeat(1_024).getBytes(StandardCharsets.UTF_8);
        boolean accepted = true;
        for (int count = 0; accepted && count < 2_000; count++) {
            accepted = parser.accept(pieces);
        }
        assertThat(accepted).isFalse();
        assertThat(events).isEmpty();
    }

    @Test
    void noEventIsEmittedAfterTheLengthLimit() {
        parser.accept(new byte[EventStreamParser.MAXIMUM_EVENT_BYTES + 1]);
        assertThat(parser.accept("\n\ndata: a\n\n".getBytes(StandardCharsets.UTF_8)))
                .isFalse();
        assertThat(events).isEmpty();
    }
}
