package org.quetzalshunt.server.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class IdleConnectionTest {
    private static final long UNSTATED = IdleConnection.UNSTATED;

    /**
     * Guards against requests that are sent while the server closes the connection, and against opening a new
     * connection for each request to a rarely used server.
     */
    @ParameterizedTest
    @CsvSource({
        "4000, " + UNSTATED + ", 4000, true",
        "4001, " + UNSTATED + ", 4000, false",
        "9000, 10000, 4000, true",
        "9500, 10000, 4000, false",
        "1400, 2000, 4000, true",
        "1600, 2000, 4000, false",
        "0, 10000, 0, false"
    })
    void connectionIsNotReusedBeyondItsIdleLimit(
            long idleMillis, long keepAliveMillis, long maximumIdleMillis, boolean usable) {
        IdleConnection connection = new IdleConnection(new EmbeddedChannel(), 1_000, keepAliveMillis);
        assertThat(connection.isUsable(1_000 + idleMillis, maximumIdleMillis)).isEqualTo(usable);
    }

    @ParameterizedTest
    @ValueSource(longs = {10_000, UNSTATED})
    void closedConnectionIsNotUsed(long keepAliveMillis) {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.close();
        assertThat(new IdleConnection(channel, 0, keepAliveMillis).isUsable(1, 4_000))
                .isFalse();
    }
}
