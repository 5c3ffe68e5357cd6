package org.quetzalshunt.core.program;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalshunt.core.log.FakeLog;

/**
 * Three entry processes share one shard. They crash, are paused during takeovers and resume, while appends are lost or
 * duplicated and the log keeps records for 90 seconds only. Callers run turns and repeat at-most-once calls. Guards
 * against answered turns that are lost or duplicated, programs over their budget and calls that run twice.
 */
final class ShardRandomTest {
    private static final int NODES = 3;
    private static final int RUN_MILLIS = 400_000;
    private static final long RETENTION_MILLIS = 90_000;
    private static final long BUDGET = 60_000;
    private static final int PROGRAMS = 4;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("quetzalshunt.seeds", 8));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void nothingIsLostDoubledOrOverspent(long seed) {
        Scenario scenario = new Scenario(seed);
        scenario.log.run(RUN_MILLIS, scenario::step);
        scenario.settle();

        Map<String, List<String>> durableTurns = new HashMap<>();
        Map<String, Integer> callRuns = new HashMap<>();
        for (ShardNode node : scenario.allNodes) {
            node.turnsStarted.forEach(start -> {
                if (Boolean.TRUE.equals(node.durable.get(start.request().requestId()))) {
                    durableTurns
                            .computeIfAbsent(start.request().program(), ignored -> new ArrayList<>())
                            .add(start.turn() + " " + start.request().requestId());
                }
            });
            node.callsStarted.forEach(call -> callRuns.merge(call.idempotencyKey(), 1, Integer::sum));
        }
        assertThat(callRuns.size()).isGreaterThan(5);
        assertThat(callRuns.values().stream().filter(runs -> runs > 1)).isEmpty();
        assertThat(durableTurns.values().stream().mapToInt(List::size).sum()).isGreaterThan(50);
        ShardNode reader = scenario.lateNode;
        assertThat(reader.shard.isComplete()).isTrue();
        durableTurns.forEach((program, turns) -> {
            List<String> numbers = turns.stream()
                    .map(turn -> turn.substring(0, turn.indexOf(' ')))
                    .toList();
            assertThat(numbers).containsNoDuplicates();
            ProgramView view = reader.shard.find(program, ShardNode.ACCOUNT).orElseThrow();
            assertThat(view.turns()).isAtLeast(turns.size());
            assertThat(view.spentTokens()).isAtMost(BUDGET);
        });
        reader.shard.reportGauges((name, value) -> {
            if (name.equals("overspends")) {
                assertThat(value).isEqualTo(0);
            }
        });
        assertThat(reader.session.firstKept()).isGreaterThan(20);
        List<byte[]> checkpoint = reader.shard.checkpointRecords(Integer.MAX_VALUE / 2);
        assertThat(scenario.describeState(scenario.liveNodes.get(0))).isEqualTo(scenario.describeState(reader));
        assertThat(checkpoint).hasSize(1);
    }

    /** A random run: the log, the processes now running, and all processes since the start. */
    private static final class Scenario {
        final FakeLog log;
        final TableCodec codec = new TableCodec();
        final SplittableRandom random;
        final List<ShardNode> liveNodes = new ArrayList<>();
        final List<ShardNode> allNodes = new ArrayList<>();
        final List<Long> arrivals = new ArrayList<>();
        final Map<ShardNode, Long> pausedUntil = new HashMap<>();
        ShardNode lateNode;
        int requests;

        Scenario(long seed) {
            log = new FakeLog(seed);
            random = new SplittableRandom(seed);
            log.setFaults(0.15, 0.05);
            for (int index = 0; index < NODES; index++) {
                liveNodes.add(start("vm" + index));
            }
        }

        ShardNode start(String name) {
            ShardNode node = ShardNode.start(log, codec, name, allNodes.size() + 1);
            allNodes.add(node);
            return node;
        }

        void step() {
            expireRecords();
            for (int index = 0; index < NODES; index++) {
                ShardNode node = liveNodes.get(index);
                if (pausedUntil.getOrDefault(node, 0L) > log.now()) {
                    continue;
                }
                if (pausedUntil.remove(node) != null) {
                    node.transport.resume();
                }
                node.tick();
                act(index, node);
            }
        }

        private void act(int index, ShardNode node) {
            if (random.nextInt(40_000) == 0) {
                node.transport.crash();
                liveNodes.set(index, start("vm" + index));
                return;
            }
            if (random.nextInt(25_000) == 0) {
                node.transport.pause();
                pausedUntil.put(node, log.now() + 200 + random.nextInt(8_000));
                return;
            }
            if (random.nextInt(12_000) == 0) {
                node.session.requestReadToEnd(log.now());
            }
            if (!node.shard.isOwned() && random.nextInt(6_000) == 0 && node.session.isCaughtUp()) {
                node.shard.claim(won -> {});
            }
            if (node.shard.isOwned()) {
                serve(node);
            }
        }

        private void serve(ShardNode node) {
            String program = "program" + random.nextInt(PROGRAMS);
            if (random.nextInt(300) == 0
                    && node.shard.find(program, ShardNode.ACCOUNT).isEmpty()) {
                node.create(program, BUDGET);
            }
            if (random.nextInt(300) == 0) {
                node.offer(program, "turn" + requests++);
            }
            if (random.nextInt(2_000) == 0) {
                node.call("lorry" + random.nextInt(1 + requests / 20), "call" + requests++);
            }
            if (random.nextInt(50) == 0 && !node.turnsStarted.isEmpty()) {
                TurnStart last = node.turnsStarted.get(node.turnsStarted.size() - 1);
                if (!node.durable.containsKey(last.request().requestId())) {
                    node.end(last, random.nextInt((int) last.reservationTokens()));
                }
            }
        }

        private void expireRecords() {
            while (arrivals.size() < log.next()) {
                arrivals.add(log.now());
            }
            if (log.now() % 1_000 == 0) {
                int expired = 0;
                while (expired < arrivals.size() && arrivals.get(expired) < log.now() - RETENTION_MILLIS) {
                    expired++;
                }
                log.dropBelow(expired);
            }
        }

        void settle() {
            log.setFaults(0, 0);
            liveNodes.forEach(node -> node.transport.resume());
            lateNode = start("late");
            for (int round = 0; round < 2; round++) {
                liveNodes.forEach(node -> node.session.requestReadToEnd(log.now()));
                lateNode.session.requestReadToEnd(log.now());
                log.run(5_000, () -> {
                    liveNodes.forEach(node -> node.session.tick(log.now()));
                    lateNode.session.tick(log.now());
                });
            }
        }

        List<String> describeState(ShardNode node) {
            List<ProgramView> programs = node.shard.programs();
            List<String> views = new ArrayList<>();
            programs.forEach(view -> views.add(view.id() + " " + view.turns() + " " + view.spentTokens() + " "
                    + view.endedCode() + " " + view.lastActiveMillis()));
            views.add(node.shard.owner() + " " + node.shard.epoch());
            return views;
        }
    }
}
