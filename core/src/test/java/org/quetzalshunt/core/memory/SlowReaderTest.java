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

    /** Guards against callers that take nothing at all, and hold the memory of their responses. */
    @Test
    void callersThatReadNothingAreTooSlow() {
        progress.start(0);
        progress.update(100, new Object(), 0);
        assertThat(progress.isTooSlow(2_000)).isFalse();
        assertThat(progress.isTooSlow(2_001)).isTrue();
    }

    /**
     * Guards against the disconnection of callers that read slowly but steadily: at 20 KB per second, the operating
     * system reports progress only every three to six seconds.
     */
    @Test
    void callersThatReadSteadilyAreNotTooSlow() {
        Object first = new Object();
        Object second = new Object();
        progress.start(0);
        progress.update(100, first, 0);
        progress.update(1_900, first, 1);
        assertThat(progress.isTooSlow(7_900)).isFalse();
        assertThat(progress.isTooSlow(7_901)).isTrue();
        progress.update(7_800, second, 0);
        assertThat(progress.isTooSlow(13_800)).isFalse();
        progress.update(13_700, second, 0);
        assertThat(progress.isTooSlow(13_801)).isTrue();
    }

    /** Guards against a pause of the process after which all callers would count as slow. */
    @Test
    void pauseOfTheProcessDoesNotCount() {
        progress.start(0);
        progress.update(100, new Object(), 0);
        progress.skip(3_000);
        assertThat(progress.isTooSlow(5_000)).isFalse();
        assertThat(progress.isTooSlow(5_001)).isTrue();
    }
}
