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

/** The batch on an event loop whose time stands still but for the test. */
final class BatchTest {
    private static final int STEP_MICROS = 1_000;
    private static final int PREFILL_TOKENS_PER_SECOND = 10_000;

    private final EmbeddedChannel time = new EmbeddedChannel();
    private final List<EngineRun> finished = new ArrayList<>();
    private int cachedTokens;

    @BeforeEach
    void freeze() {
        time.freezeTime();
    }

    @Test
    void freeSlotGoesToTheMostUrgentAndAmongEqualsToTheOldest() {
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

    /** 100 prompt tokens at 10 tokens a millisecond, less what is cached, and a step of one millisecond a chunk. */
    @ParameterizedTest
    @CsvSource({"0, 11", "50, 6", "100, 1"})
    void firstWordComesWhenUncachedPromptIsRead(int cached, int millis) {
        cachedTokens = cached;
        Batch batch = batch(1, 1_000);
        batch.submit(run(0, 100, 5));
        advanceMillis(millis - 1);
        assertThat(batch.wordsEmitted()).isEqualTo(0);
        advanceMillis(1);
        assertThat(batch.wordsEmitted()).isEqualTo(1);
    }

    @Test
    void longPromptSlowsARunningStreamAndDoesNotStopIt() {
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
        return Batch.create(time.eventLoop(), settings, () -> 0, hooks);
    }

    private static EngineRun run(int priority, int promptWords, int answerWords) {
        var messages = Json.array();
        messages.addObject()
                .put("role", "user")
                .put("content", "word ".repeat(promptWords - 1) + "[words=" + answerWords + "]");
        ChatRequest request = new ChatRequest("m", messages, true, false, 100_000, priority, Optional.empty());
        return EngineRun.create(request, Run.unnamed(), ChatBodies.of("r", "m", 0), 0);
    }

    private void advanceMillis(long millis) {
        for (long i = 0; i < millis; i++) {
            time.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            time.runScheduledPendingTasks();
        }
    }
}
