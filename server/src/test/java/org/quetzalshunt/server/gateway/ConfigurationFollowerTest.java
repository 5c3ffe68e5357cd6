package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.EventExecutor;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.policy.Policy;
import org.quetzalshunt.core.routing.EndpointTable;

final class ConfigurationFollowerTest {
    private static final long RECOVERY_MILLIS = 1_000;
    private static final long PROPAGATION_MILLIS = 200;

    private final EventExecutor executor = new DefaultEventExecutor();
    private final NodeClock clock = new NodeClock(() -> {});

    private final EndpointTable endpoints = EndpointTable.create("a", 1, Policy.allEnabled());

    private static DecisionLog log() {
        return DecisionLog.start(
                "vm-1", new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
    }

    private ConfigurationFollower follower(StoreClient store, Evacuations evacuations, DecisionLog log) {
        return new ConfigurationFollower(
                executor, store, new EvacuationDialect(), clock, log, evacuations, configuration -> {});
    }

    @AfterEach
    void stop() {
        executor.shutdownGracefully();
    }

    /**
     * Guards against callers that are refused for seconds after an outage, until a poll that was sent during the
     * outage times out.
     */
    @ParameterizedTest
    @ValueSource(longs = {1_700, 2_600, 3_300})
    void configurationIsConfirmedSoonAfterAnOutage(long outageMillis) throws InterruptedException {
        SilentMap map = new SilentMap(executor);
        DecisionLog log = log();
        StoreClient store = new StoreClient(map, clock);
        ConfigurationFollower follower = follower(store, new Evacuations(endpoints, clock, log), log);
        executor.execute(follower::start);
        Thread.sleep(100);
        map.silent = true;
        Thread.sleep(outageMillis);
        map.silent = false;
        Thread.sleep(RECOVERY_MILLIS);
        assertThat(follower.ageMillis()).isAtMost(RECOVERY_MILLIS);
    }

    /**
     * Guards against an evacuation that never ends or is missed when its record or its removal was compacted away
     * before it was read.
     */
    @Test
    void evacuationsAreReplacedByAFullReadAfterCompaction() throws Exception {
        OperatorMap map = new OperatorMap(executor);
        map.put("south");
        map.put("west");
        map.put("east");
        DecisionLog log = log();
        Evacuations evacuations = new Evacuations(endpoints, clock, log);
        executor.execute(follower(new StoreClient(map, clock), evacuations, log)::start);
        assertEvacuated(evacuations, "south", "west", "east");

        executor.submit(() -> map.remove("west")).sync();
        assertEvacuated(evacuations, "south", "east");

        executor.submit(() -> {
                    map.remove("south");
                    map.put("north");
                    map.compact();
                })
                .sync();
        assertEvacuated(evacuations, "north", "east");
    }

    private void assertEvacuated(Evacuations evacuations, String... dataCentres) throws Exception {
        Thread.sleep(PROPAGATION_MILLIS);
        Set<String> seen =
                executor.submit(() -> evacuations.ageMillis().keySet()).get();
        assertThat(seen).containsExactlyElementsIn(dataCentres);
    }
}
