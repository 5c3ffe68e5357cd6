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
 * Documents are changed through four processes while the log keeps records for two minutes only and processes are
 * replaced. Guards against faults caused by expired records: a new process lacks an old document, an old version is
 * restored, or two processes have different current documents.
 */
final class ConfigurationRandomTest {
    private static final int NODES = 4;
    private static final long RETENTION_MILLIS = 120_000;
    private static final int RUN_MILLIS = 900_000;

    /** A random run: the log, the running processes and the arrival time of each record. */
    private static final class Scenario {
        final FakeLog log;
        final SplittableRandom random;
        final List<ConfigurationNode> nodes = new ArrayList<>();
        final List<Long> arrivals = new ArrayList<>();
        int startedNodes;
        int changes;

        Scenario(long seed) {
            log = new FakeLog(seed);
            random = new SplittableRandom(seed);
            for (int node = 0; node < NODES; node++) {
                nodes.add(startNode());
            }
        }

        ConfigurationNode startNode() {
            return ConfigurationNode.publishing(log, "vm#" + startedNodes++, RETENTION_MILLIS);
        }

        void step() {
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
                submitRandomChange(nodes.get(random.nextInt(NODES)));
            }
            if (random.nextInt(60_000) == 0) {
                int index = random.nextInt(NODES);
                nodes.get(index).transport.crash();
                nodes.set(index, startNode());
            }
            nodes.forEach(ConfigurationNode::tick);
        }

        private void submitRandomChange(ConfigurationNode node) {
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
    void aProcessStartedLateReachesTheStateOfOneThatReadEveryRecord(long seed) {
        Scenario scenario = new Scenario(seed);
        Configuration complete = observeFromStart(scenario);
        scenario.log.run(RUN_MILLIS, scenario::step);
        ConfigurationNode lateNode = scenario.startNode();
        scenario.log.run(5_000, () -> {
            scenario.nodes.forEach(node -> node.session.tick(scenario.log.now()));
            lateNode.session.tick(scenario.log.now());
        });
        assertThat(scenario.log.next()).isGreaterThan(100);
        assertThat(lateNode.session.firstKept()).isGreaterThan(50);
        assertThat(lateNode.configuration.isComplete()).isTrue();
        assertThat(lateNode.configuration.checkpoint()).isEqualTo(complete.checkpoint());
        Set<Long> checkpoints = new HashSet<>();
        scenario.nodes.forEach(node -> checkpoints.add(node.publisher.publishedCheckpoints()));
        assertThat(checkpoints.stream().mapToLong(count -> count).sum()).isLessThan(60);
    }

    private static Configuration observeFromStart(Scenario scenario) {
        ConfigurationNode observer = ConfigurationNode.start(scenario.log, "observer");
        scenario.log.run(1, observer::tick);
        return observer.configuration;
    }
}
