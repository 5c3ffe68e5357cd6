package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.EventExecutor;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ConfigurationFollowerTest {
    private static final long AFTER_RETURN_MILLIS = 1_000;

    private final EventExecutor executor = new DefaultEventExecutor();
    private final NodeClock clock = new NodeClock(() -> {});

    @AfterEach
    void stop() {
        executor.shutdownGracefully();
    }

    /** Guards against callers that are refused for seconds after an outage, until a poll that was sent into it has run out. */
    @ParameterizedTest
    @ValueSource(longs = {1_700, 2_600, 3_300})
    void proofIsRenewedSoonAfterASilentOutage(long outageMillis) throws InterruptedException {
        SilentMap map = new SilentMap(executor);
        DecisionLog log = DecisionLog.start(
                "vm-1", new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
        StoreClient store = new StoreClient(map, clock);
        ConfigurationFollower follower =
                new ConfigurationFollower(executor, store, new NoDialect(), clock, log, configuration -> {});
        executor.execute(follower::start);
        Thread.sleep(100);
        map.silent = true;
        Thread.sleep(outageMillis);
        map.silent = false;
        Thread.sleep(AFTER_RETURN_MILLIS);
        assertThat(follower.ageMillis()).isAtMost(AFTER_RETURN_MILLIS);
    }
}
