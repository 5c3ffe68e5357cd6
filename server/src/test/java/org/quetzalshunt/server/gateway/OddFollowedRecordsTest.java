package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.EventExecutor;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalshunt.core.policy.Policy;
import org.quetzalshunt.core.routing.EndpointTable;
import org.quetzalshunt.core.routing.Registration;

/** Followers of the store with a decoder that throws an exception for some records. */
final class OddFollowedRecordsTest {
    /** Longer than the interval of the reads of registrations. */
    private static final long PROPAGATION_MILLIS = 800;

    private static final int MANY = 1_000;
    private static final String FAULT = "fault";

    private final EventExecutor executor = new DefaultEventExecutor();
    private final NodeClock clock = new NodeClock(() -> {});
    private final EndpointTable endpoints = EndpointTable.create("a", 1, Policy.allEnabled());
    private final OperatorMap map = new OperatorMap(executor);
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private final DecisionLog log = DecisionLog.start("vm-1", new PrintStream(lines, true, StandardCharsets.UTF_8));

    private static final class FaultyDialect extends EvacuationDialect {
        @Override
        public Optional<String> evacuatedDataCentre(String key) {
            return Optional.of(checked(key));
        }

        @Override
        public Decoded<Registration> registration(String id, byte[] bytes) {
            return Decoded.of(new Registration(checked(id), "s", "127.0.0.1:9", "a", 8, false, 0, 1));
        }

        private static String checked(String key) {
            if (key.startsWith(FAULT + "-deep")) {
                throw new StackOverflowError();
            }
            if (key.startsWith(FAULT)) {
                throw new IllegalArgumentException(key);
            }
            return key;
        }
    }

    @AfterEach
    void stop() {
        executor.shutdownGracefully();
    }

    /** Guards against a gateway that never reads the servers again, since a record made its decoder fail. */
    @Test
    void registrationsAreFollowedBehindAFault() throws Exception {
        executor.execute(new RegistrationFollower(
                executor, new StoreClient(map, clock), new FaultyDialect(), clock, log, endpoints)::start);
        Thread.sleep(PROPAGATION_MILLIS);
        put(FAULT + "-1", "sound-1");
        assertThat(ids()).containsExactly("sound-1");
        put(FAULT + "-1", FAULT + "-deep", "sound-2");
        assertThat(ids()).containsExactly("sound-1", "sound-2");
        assertThat(refusals()).isEqualTo(2);
    }

    /** Guards against keys that stay unconfirmed, since no poll follows one whose records made the decoder fail. */
    @Test
    void operatorsRecordsAreFollowedBehindAFault() throws Exception {
        Evacuations evacuations = new Evacuations(endpoints, clock, log);
        ConfigurationFollower follower = new ConfigurationFollower(
                executor, new StoreClient(map, clock), new FaultyDialect(), clock, log, evacuations, changed -> {});
        executor.execute(follower::start);
        Thread.sleep(PROPAGATION_MILLIS);
        put(FAULT + "-1", "south");
        put(FAULT + "-deep", FAULT + "-1", "north");
        assertThat(executor.submit(() -> evacuations.ageMillis().keySet()).get())
                .containsExactly("south", "north");
        assertThat(follower.ageMillis()).isLessThan(PROPAGATION_MILLIS);
        assertThat(refusals()).isEqualTo(2);
    }

    /** Guards against a log that grows with each read of odd records, or with their number. */
    @Test
    void refusalsAreLoggedWithABound() {
        RecordIntake intake = new RecordIntake(log, "registrations");
        for (int read = 0; read < 3; read++) {
            for (int record = 0; record < MANY; record++) {
                intake.refuse("x".repeat(MANY) + record, "y".repeat(MANY));
            }
        }
        awaitLines();
        assertThat(refusals()).isAtMost(201);
        assertThat(lines.size()).isLessThan(100_000);
    }

    private void put(String... keys) throws Exception {
        executor.submit(() -> {
                    for (String key : keys) {
                        map.put(key);
                    }
                })
                .sync();
        Thread.sleep(PROPAGATION_MILLIS);
    }

    private Collection<String> ids() throws Exception {
        return executor.submit(() -> endpoints.ids()).get();
    }

    private void awaitLines() {
        try {
            Thread.sleep(PROPAGATION_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private long refusals() {
        return lines.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("\"record-refused\""))
                .count();
    }
}
