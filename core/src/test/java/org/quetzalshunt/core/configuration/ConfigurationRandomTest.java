package org.quetzalshunt.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalshunt.core.configuration.ConfigurationChange.DocumentChange;
import org.quetzalshunt.core.log.FakeLog;

/**
 * Operators change documents through four processes while the log keeps records for two minutes only, loses answers,
 * and processes are replaced. Seen from outside if it went wrong: a document put long ago is gone at a new VM, a version
 * comes back, or two VMs have different documents in force. Cause: state that lives in records which expire.
 */
final class ConfigurationRandomTest {
    private static final int NODES = 4;
    private static final long RETENTION_MILLIS = 120_000;
    private static final int RUN_MILLIS = 900_000;

    /** A fleet at work: its log, and offsets with the time at which they came. */
    private static final class Fleet {
        final FakeLog log;
        final SplittableRandom random;
        final List<ConfigurationNode> nodes = new ArrayList<>();
        final List<Long> arrivals = new ArrayList<>();
        int lives;
        int changes;

        Fleet(long seed) {
            log = new FakeLog(seed);
            random = new SplittableRandom(seed);
            for (int node = 0; node < NODES; node++) {
                nodes.add(startNode());
            }
        }

        ConfigurationNode startNode() {
            return ConfigurationNode.publishing(log, "vm#" + lives++, RETENTION_MILLIS);
        }

        void millisecond() {
            while (arrivals.size() < log.next()) {
                arrivals.add(log.now());
            }
            if (log.now() % 1_000 == 0) {
                long expired = arrivals.stream()
                        .filter(arrival -> arrival < log.now() - RETENTION_MILLIS)
                        .count();
                log.dropBelow(expired);
            }
            if (random.nextInt(8_000) == 0) {
                putSomething(nodes.get(random.nextInt(NODES)));
            }
            if (random.nextInt(60_000) == 0) {
                int replaced = random.nextInt(NODES);
                nodes.get(replaced).transport.crash();
                nodes.set(replaced, startNode());
            }
            nodes.forEach(ConfigurationNode::tick);
        }

        private void putSomething(ConfigurationNode node) {
            String service = "service" + random.nextInt(5);
            long based = node.configuration.currentVersion(service);
            DocumentChange change = random.nextInt(10) == 0
                    ? TextRecords.remove(service, based, "change" + changes++)
                    : TextRecords.put(service, based, "change" + changes++, TextRecords.hash(changes));
            node.submit(change);
        }
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("quetzalshunt.seeds", 8));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void aLateStarterComesToTheStateOfThoseThatSawAll(long seed) {
        Fleet fleet = new Fleet(seed);
        Configuration sawAll = followAll(fleet);
        fleet.log.run(RUN_MILLIS, fleet::millisecond);
        ConfigurationNode late = fleet.startNode();
        fleet.log.run(5_000, () -> {
            fleet.nodes.forEach(node -> node.session.tick(fleet.log.now()));
            late.session.tick(fleet.log.now());
        });
        assertThat(fleet.log.next()).isGreaterThan(100);
        assertThat(late.session.firstKept()).isGreaterThan(50);
        assertThat(late.configuration.complete()).isTrue();
        assertThat(late.configuration.checkpoint()).isEqualTo(sawAll.checkpoint());
        Set<Long> checkpoints = new HashSet<>();
        fleet.nodes.forEach(node -> checkpoints.add(node.publisher.published()));
        assertThat(checkpoints.stream().mapToLong(count -> count).sum()).isLessThan(60);
    }

    private static Configuration followAll(Fleet fleet) {
        ConfigurationNode observer = ConfigurationNode.start(fleet.log, "observer");
        fleet.log.run(1, observer::tick);
        return observer.configuration;
    }
}
