package org.quetzalshunt.core.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Processes append to one stream and read it while 30% of appends and 10% of reads fail, the log has outages, and
 * processes crash and restart with a new incarnation. Guards against lost or duplicated records and against processes
 * that disagree on the order, as caused by lost answers and late copies of appends.
 */
final class StreamSessionRandomTest {
    private static final int NODES = 4;
    private static final int RUN_MILLIS = 30_000;
    private static final int QUIET_MILLIS = 10_000;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("quetzalshunt.seeds", 25));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyRecordIsFoldedOnceAndInOneOrder(long seed) {
        FakeLog log = new FakeLog(seed);
        SplittableRandom random = new SplittableRandom(seed);
        List<SessionNode> live = new ArrayList<>();
        List<SessionNode> crashed = new ArrayList<>();
        for (int node = 0; node < NODES; node++) {
            live.add(start(log, random, node, 1));
        }
        log.setFaults(0.3, 0.1);
        int[] count = {0};
        log.run(RUN_MILLIS, () -> {
            if (random.nextInt(2_000) == 0) {
                log.setOutage(random.nextInt(3) == 0);
            }
            if (random.nextInt(3_000) == 0) {
                int node = random.nextInt(NODES);
                live.get(node).transport.crash();
                crashed.add(live.get(node));
                live.set(node, start(log, random, node, crashed.size() + 1));
            }
            for (SessionNode node : live) {
                if (random.nextInt(20) == 0) {
                    node.submit("record " + count[0]++);
                }
                node.tick();
            }
        });
        log.setOutage(false);
        log.setFaults(0, 0);
        log.run(QUIET_MILLIS, () -> live.forEach(SessionNode::tick));
        live.forEach(node -> node.session.requestReadToEnd(log.now()));
        log.run(QUIET_MILLIS, () -> live.forEach(SessionNode::tick));

        List<String> expected = live.get(0).fold.positions;
        assertThat(live.get(0).fold.records).containsNoDuplicates();
        assertThat(expected.size()).isGreaterThan(1_000);
        for (SessionNode node : live) {
            assertThat(node.fold.positions).isEqualTo(expected);
            assertThat(node.session.backlogRecords()).isEqualTo(0);
            assertThat(node.outcomes.values().stream().allMatch(Submission::isFolded))
                    .isTrue();
            assertReportedOffsetsAreCorrect(node, expected);
        }
        for (SessionNode node : crashed) {
            assertThat(node.fold.positions).isEqualTo(expected.subList(0, node.fold.positions.size()));
            assertReportedOffsetsAreCorrect(node, expected);
        }
    }

    private static void assertReportedOffsetsAreCorrect(SessionNode node, List<String> expected) {
        Set<String> folded = new HashSet<>();
        expected.forEach(position -> folded.add(position.replaceFirst("/\\d+", "")));
        for (Map.Entry<String, Submission> entry : node.outcomes.entrySet()) {
            if (entry.getValue() instanceof Submission.Folded reported) {
                assertThat(folded).contains(reported.offset() + " " + entry.getKey());
            }
        }
    }

    private static SessionNode start(FakeLog log, SplittableRandom random, int node, int incarnation) {
        boolean tail = random.nextBoolean();
        StreamSettings settings =
                tail ? StreamSettings.tailing(20, random.nextLong()) : StreamSettings.onDemand(20, random.nextLong());
        return SessionNode.start(log, "vm" + node + "#" + incarnation, settings);
    }
}
