package org.quetzalshunt.core.memory;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Pace of an endpoint's response and patience with its caller, in virtual time. */
final class SlowReaderTest {
    private static final int CHUNK = 8 * 1024;

    private final ReadPacing pacing = new ReadPacing();
    private final ReadProgress progress = new ReadProgress();

    /** Reads a chunk every 10 ms while that is allowed; returns the bytes read while the caller is blocked. */
    private long readWhileBlocked(long fromMillis, long toMillis) {
        long read = 0;
        for (long now = fromMillis; now < toMillis; now += 10) {
            pacing.onTime(now);
            if (pacing.mayRead()) {
                pacing.onRead(CHUNK);
                read += CHUNK;
            }
        }
        return read;
    }

    /** Guards against a response that fills the memory, and against an endpoint that cuts one it believes abandoned. */
    @ParameterizedTest
    @ValueSource(longs = {400, 499, 510, 2_000})
    void blockedResponseIsReadAgainAfterThePauseAndOnlyIntoItsBuffer(long blockedMillis) {
        pacing.onBlocked(0);
        assertThat(pacing.mayRead()).isFalse();

        long read = readWhileBlocked(0, blockedMillis);

        long expected =
                blockedMillis <= 500 ? 0 : Math.min(ReadPacing.BUFFER_BYTES, (blockedMillis - 500) / 10 * CHUNK);
        assertThat(read).isEqualTo(expected);
        pacing.onUnblocked(blockedMillis);
        assertThat(pacing.mayRead()).isTrue();
        assertThat(pacing.pausedMillis(blockedMillis + 1_000)).isEqualTo(blockedMillis);
    }

    /** Guards against a buffer that is used only once: a caller that catches up and stalls again has a new one. */
    @Test
    void bufferIsAvailableAgainAfterTheCallerCaughtUp() {
        pacing.onBlocked(0);
        readWhileBlocked(0, 1_000);
        assertThat(pacing.mayRead()).isFalse();
        pacing.onUnblocked(1_000);
        pacing.onBlocked(1_100);
        assertThat(readWhileBlocked(1_100, 2_000)).isEqualTo(ReadPacing.BUFFER_BYTES);
    }

    /** Guards against the disconnection of callers that read slowly but steadily, and of those that just started. */
    @Test
    void onlyCallersWithoutAnyProgressAreTooSlow() {
        Object first = new Object();
        Object second = new Object();
        progress.start(0);
        progress.update(100, first, 0);
        assertThat(progress.isTooSlow(2_000)).isFalse();
        assertThat(progress.isTooSlow(2_001)).isTrue();
        progress.update(1_900, first, 1);
        assertThat(progress.isTooSlow(3_900)).isFalse();
        progress.update(3_800, second, 0);
        assertThat(progress.isTooSlow(5_800)).isFalse();
        progress.update(5_700, second, 0);
        assertThat(progress.isTooSlow(5_801)).isTrue();
    }
}
