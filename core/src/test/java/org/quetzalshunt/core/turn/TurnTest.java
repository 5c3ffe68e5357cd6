package org.quetzalshunt.core.turn;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

final class TurnTest {
    private static TurnRecord turn(String id, String input, String output, long expires) {
        return new TurnRecord(id, "arusha", List.of(), bytes(input), bytes(output), expires, 0);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void promptIsThePreviousTurnsOldestFirstAndThenTheInput() {
        byte[] prompt =
                TurnPrompt.assemble(List.of(turn("1", "a\n", "b\n", 9), turn("2", "c", "d\ne\n", 9)), bytes("f"));
        assertThat(new String(prompt, StandardCharsets.UTF_8)).isEqualTo("a\nb\ncd\ne\nf");
    }

    @Test
    void expiredTurnIsNotFound() {
        TurnCache cache = TurnCache.create(10_000);
        cache.put(turn("1", "a", "b", 100));
        assertThat(cache.find("1", 100)).isPresent();
        assertThat(cache.find("1", 101)).isEmpty();
    }

    @Test
    void cacheStaysWithinItsSizeAndKeepsTheNewestRecord() {
        TurnCache cache = TurnCache.create(3_000);
        for (int number = 0; number < 40; number++) {
            cache.put(turn("t" + number, "x".repeat(500), "y", 100));
            assertThat(cache.find("t0", 0).isPresent() || number > 0).isTrue();
            assertThat(cache.bytes()).isAtMost(3_000);
        }
        assertThat(cache.find("t39", 0)).isPresent();
    }
}
