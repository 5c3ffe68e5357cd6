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
 * Processes append and follow one stream while a third of all calls go wrong, the log has outages, and processes crash
 * and come back under a new incarnation. Cause of what could go wrong: lost answers and late copies of appends. Seen
 * from outside: a lesson's turn that is lost, or stands twice in its history, or two entries that disagree on the order.
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
                live.get(node).line.cut();
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
        live.forEach(node -> node.session.follow(log.now()));
        log.run(QUIET_MILLIS, () -> live.forEach(SessionNode::tick));

        List<String> order = live.get(0).fold.places;
        assertThat(live.get(0).fold.records).containsNoDuplicates();
        assertThat(order.size()).isGreaterThan(1_000);
        for (SessionNode node : live) {
            assertThat(node.fold.places).isEqualTo(order);
            assertThat(node.session.backlog()).isEqualTo(0);
            assertThat(node.heard.values().stream().allMatch(Submission::isFolded))
                    .isTrue();
            assertEachHeardPlace(node, order);
        }
        for (SessionNode node : crashed) {
            assertThat(node.fold.places).isEqualTo(order.subList(0, node.fold.places.size()));
            assertEachHeardPlace(node, order);
        }
    }

    private static void assertEachHeardPlace(SessionNode node, List<String> order) {
        Set<String> folded = new HashSet<>();
        order.forEach(place -> folded.add(place.replaceFirst("/\\d+", "")));
        for (Map.Entry<String, Submission> entry : node.heard.entrySet()) {
            if (entry.getValue() instanceof Submission.Folded told) {
                assertThat(folded).contains(told.offset() + " " + entry.getKey());
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
