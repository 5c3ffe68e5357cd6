package org.quetzalshunt.core.log;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalshunt.core.configuration.Freshness;

/**
 * Nodes that return to the log one by one after an outage, and of which the first one applies a change at once. A
 * node must not refuse its callers for longer than one read takes, only because its own back-off is longer than that
 * of its peer.
 */
final class CatchUpTest {
    private static final long FRESHNESS_MILLIS = 2_000;
    private static final long HEARTBEAT_MILLIS = 500;
    /** The time of an unanswered read (300 ms), the jitter (100 ms) and one read; requests wait for up to a second. */
    private static final long CATCH_UP_MILLIS = 450;

    private final FakeLog log = new FakeLog(5);

    /** A node that serves callers by its copy of the stream, and counts the milliseconds in which it would refuse them. */
    private final class Node {
        private final SessionNode session;
        private final Freshness freshness = Freshness.create(FRESHNESS_MILLIS);
        private long staleMillis;
        private long refusingMillis;

        Node(String name, long seed) {
            session = SessionNode.start(log, name, StreamSettings.tailing(20, seed));
        }

        void tick(List<Node> peers) {
            session.tick();
            session.session.lastReadMillis().ifPresent(freshness::onReadToEnd);
            freshness.setPeers(
                    IntStream.range(0, peers.size()).mapToObj(Integer::toString).toList());
            if (log.now() % HEARTBEAT_MILLIS == 0) {
                for (int peer = 0; peer < peers.size(); peer++) {
                    onHeartbeat(Integer.toString(peer), peers.get(peer));
                }
            }
            if (!freshness.isFresh(log.now(), session.session.nextOffset())) {
                staleMillis++;
                refusingMillis += session.session.isCatchingUp(log.now()) ? 0 : 1;
            }
        }

        private void onHeartbeat(String name, Node peer) {
            long next = peer.session.session.nextOffset();
            session.session.onPeerOffset(log.now(), next);
            freshness.onPeerReport(name, next, peer.freshness.ageMillis(log.now()), log.now() - 1);
        }
    }

    private void run(long millis, List<Node> nodes) {
        log.run(millis, () -> {
            for (Node node : nodes) {
                List<Node> peers = new ArrayList<>(nodes);
                peers.remove(node);
                node.tick(peers);
            }
        });
    }

    static Stream<Arguments> outages() {
        return Stream.of(2_500, 5_000, 9_000)
                .flatMap(outage -> Stream.of(20, 3_000).flatMap(failure -> IntStream.rangeClosed(1, 20)
                        .mapToObj(seed -> Arguments.of(outage, failure, seed))));
    }

    /**
     * Guards against the refusal of all callers of a node that is in its back-off, or that waits for a read which the
     * log never answers, while a peer has applied a change.
     */
    @ParameterizedTest
    @MethodSource("outages")
    void aChangeAtTheEndOfAnOutageRefusesNobody(long outageMillis, long readFailureMillis, int seed) {
        List<Node> nodes = IntStream.range(0, 3)
                .mapToObj(index -> new Node("node" + index, seed * 100L + index))
                .toList();
        run(3_000, nodes);
        nodes.forEach(node -> node.staleMillis = 0);
        nodes.forEach(node -> node.refusingMillis = 0);
        log.setReadFailureMillis(readFailureMillis);
        log.setOutage(true);
        run(outageMillis - 200, nodes);
        nodes.get(0).session.submit("withdraw a key");
        run(200, nodes);
        log.setOutage(false);
        run(8_000, nodes);
        for (Node node : nodes) {
            assertThat(node.session.fold.records).containsExactly("withdraw a key");
            assertWithMessage("milliseconds in which callers are refused")
                    .that(node.refusingMillis)
                    .isEqualTo(0);
            assertThat(node.staleMillis).isAtMost(CATCH_UP_MILLIS);
        }
    }

    /** Guards against a node that still accepts a withdrawn key because its own path to the log is cut. */
    @Test
    void aNodeThatCannotReadTheChangeStopsServing() {
        SessionNode writer = SessionNode.tailing(log, "writer");
        SessionNode cutOff = SessionNode.tailing(log, "cut off");
        log.run(100, () -> List.of(writer, cutOff).forEach(SessionNode::tick));
        cutOff.transport.pause();
        writer.submit("withdraw a key");
        log.run(100, writer::tick);
        cutOff.session.onPeerOffset(log.now(), writer.session.nextOffset());
        assertThat(cutOff.session.isCatchingUp(log.now())).isTrue();
        log.run(1_000, cutOff::tick);
        assertThat(cutOff.session.isCatchingUp(log.now())).isFalse();
    }

    /** Guards against a load on a log that just returns which grows with the number of heartbeats, or comes at once. */
    @Test
    void aNewOffsetCausesOneReadPerNodeSpreadOverTime() {
        int nodes = 300;
        List<SessionNode> all = IntStream.range(0, nodes)
                .mapToObj(index -> SessionNode.start(log, "node" + index, StreamSettings.tailing(20, index)))
                .toList();
        log.run(3_000, () -> all.forEach(SessionNode::tick));
        log.setOutage(true);
        log.run(5_000, () -> all.forEach(SessionNode::tick));
        int before = log.reads();
        long next = log.next() + 1;
        int[] most = {0};
        log.run(100, () -> {
            int reads = log.reads();
            all.forEach(node -> node.session.onPeerOffset(log.now(), next));
            all.forEach(SessionNode::tick);
            most[0] = Math.max(most[0], log.reads() - reads);
        });
        assertThat(log.reads() - before).isAtMost(2 * nodes);
        assertThat(most[0]).isAtMost(nodes / 10);
    }
}
