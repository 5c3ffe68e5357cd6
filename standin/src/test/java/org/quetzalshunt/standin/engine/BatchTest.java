package org.quetzalshunt.standin.engine;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalshunt.standin.control.Run;
import org.quetzalshunt.wire.json.Json;

/** Tests the batch on an event loop whose time only the test advances. */
final class BatchTest {
    private static final int STEP_MICROS = 1_000;
    private static final int PREFILL_TOKENS_PER_SECOND = 10_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<EngineRun> finished = new ArrayList<>();
    private int cachedTokens;

    @BeforeEach
    void freezeTime() {
        channel.freezeTime();
    }

    @Test
    void freeSlotGoesToTheHighestPriorityThenToTheOldest() {
        Batch batch = batch(1, 1_000);
        EngineRun running = run(5, 10, 1);
        EngineRun late = run(5, 10, 1);
        EngineRun urgent = run(0, 10, 1);
        EngineRun later = run(5, 10, 1);
        List.of(running, late, urgent, later).forEach(batch::submit);
        assertThat(batch.waitingCount()).isEqualTo(3);
        advanceMillis(200);
        assertThat(finished).containsExactly(running, urgent, late, later).inOrder();
    }

    /** 100 prompt tokens minus the cached ones at 10 tokens per millisecond, plus one step of one millisecond. */
    @ParameterizedTest
    @CsvSource({"0, 11", "50, 6", "100, 1"})
    void firstWordFollowsPrefillOfUncachedTokens(int cached, int millis) {
        cachedTokens = cached;
        Batch batch = batch(1, 1_000);
        batch.submit(run(0, 100, 5));
        advanceMillis(millis - 1);
        assertThat(batch.wordsEmitted()).isEqualTo(0);
        advanceMillis(1);
        assertThat(batch.wordsEmitted()).isEqualTo(1);
    }

    @Test
    void longPromptSlowsRunningStreamWithoutStoppingIt() {
        Batch batch = batch(2, 10);
        batch.submit(run(0, 1, 1_000));
        advanceMillis(10);
        long before = batch.wordsEmitted();
        batch.submit(run(0, 1_000, 1));
        advanceMillis(100);
        assertThat(batch.wordsEmitted() - before).isIn(com.google.common.collect.Range.closed(45L, 55L));
    }

    private Batch batch(int slots, int prefillChunkTokens) {
        BatchSettings settings =
                new BatchSettings(slots, 16, PREFILL_TOKENS_PER_SECOND, prefillChunkTokens, STEP_MICROS, 0);
        BatchHooks hooks = new BatchHooks(() -> 0, run -> cachedTokens, finished::add, () -> {});
        return Batch.create(channel.eventLoop(), settings, () -> 0, hooks);
    }

    private static EngineRun run(int priority, int promptWords, int answerWords) {
        var messages = Json.array();
        messages.addObject()
                .put("role", "user")
                .put("content", "word ".repeat(promptWords - 1) + "[words=" + answerWords + "]");
        ChatRequest request = new ChatRequest("m", messages, true, false, 100_000, priority, Optional.empty());
        return EngineRun.create(request, Run.unlogged(), ChatBodies.of("r", "m", 0), 0);
    }

    private void advanceMillis(long millis) {
        for (long i = 0; i < millis; i++) {
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
    }
}
