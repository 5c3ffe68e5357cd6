package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.EventExecutor;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.budget.ProgramAllotment;
import org.quetzalshunt.core.policy.Policy;
import org.quetzalshunt.core.vm.VmCapacity;

final class BudgetManagerTest {
    private static final String PROGRAM = "arusha:loop";
    private static final long MAXIMUM_TOKENS = 592;
    private static final long BUDGET = 3 * MAXIMUM_TOKENS;
    private static final long RETENTION_MILLIS = 70_000;
    private static final int GATEWAYS = 4;
    private static final int PROGRAMS = 40;
    private static final long RUN_MILLIS = 2_000;

    private static final DecisionLog LOG = DecisionLog.start("vm", new PrintStream(OutputStream.nullOutputStream()));

    private final EventExecutor executor = new DefaultEventExecutor();
    /** Wall-clock time that passes in a second of a run in which records are renewed. */
    private static final int FAST_WALL_SECONDS = 100;

    private NodeClock clock = new NodeClock(() -> {});

    @AfterEach
    void stop() {
        executor.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Guards against gateways that together hand out more than the budget and one turn, while the store loses
     * responses to appends and applies some of them later. This happened when a record that lowered an allotment was
     * applied after the allotment had been read again and handed out: the other gateways then counted the lower value.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void budgetIsNotExceededWhenAppendResponsesAreLost(long seed) throws Exception {
        spendThroughALossyStore(seed);
    }

    /**
     * Guards against a renewal of another gateway's allotment that replaces a higher one which that gateway has stored
     * at the same time.
     */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void budgetIsNotExceededWhenAllotmentsAreRenewedConcurrently(long seed) throws Exception {
        NodeClock real = new NodeClock(() -> {});
        long start = real.now();
        clock = new NodeClock(() -> {}, real::now, () -> start + (real.now() - start) * FAST_WALL_SECONDS);
        spendThroughALossyStore(seed);
    }

    private void spendThroughALossyStore(long seed) throws Exception {
        List<Loop> loops = new ArrayList<>();
        for (int program = 0; program < PROGRAMS; program++) {
            loops.add(new Loop(PROGRAMS * seed + program));
        }
        loops.forEach(loop -> executor.execute(loop::start));

        Thread.sleep(RUN_MILLIS);

        for (Loop loop : loops) {
            long total = executor.submit(() -> loop.handedOut).get();
            assertWithMessage("loop " + loop.seed).that(total).isAtMost(BUDGET + MAXIMUM_TOKENS);
        }
    }

    /**
     * Sends the turns of one program through all gateways at once; each gateway gets its next turn as soon as its last
     * one ended.
     */
    private final class Loop {
        private final long seed;
        private final Random random;
        private final List<BudgetManager> managers = new ArrayList<>();
        private long handedOut;

        Loop(long seed) {
            this.seed = seed;
            this.random = new Random(seed);
            LossyMap map = new LossyMap(executor, seed);
            InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
            for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                GatewaySettings settings = new GatewaySettings(
                        "vm-" + gateway,
                        1,
                        "a",
                        any,
                        any,
                        any,
                        5_000,
                        1_000,
                        Map.of(),
                        Policy.allEnabled(),
                        false,
                        VmCapacity.UNKNOWN);
                managers.add(new BudgetManager(
                        executor, new StoreClient(map, clock), clock, LOG, settings, () -> false, this::notifyPeers));
            }
        }

        void start() {
            managers.forEach(this::startTurn);
        }

        private void startTurn(BudgetManager manager) {
            if (random.nextInt(4) == 0) {
                transferTokens(manager);
            }
            manager.reserve(PROGRAM, BUDGET, MAXIMUM_TOKENS, RETENTION_MILLIS, clock.now() + 500, verdict -> {
                boolean granted = verdict instanceof BudgetManager.Verdict.Granted;
                long tokens = random.nextInt(3) == 0 ? MAXIMUM_TOKENS : 16L * random.nextInt(12);
                long durationMillis = 1L + random.nextInt(60);
                executor.schedule(() -> endTurn(manager, granted, tokens), durationMillis, TimeUnit.MILLISECONDS);
            });
        }

        private void notifyPeers(String program, long allottedTokens) {
            managers.forEach(manager -> manager.onPeerExhausted(program, allottedTokens));
        }

        /** Transfers the unspent tokens of one gateway to another, where they arrive late or never. */
        private void transferTokens(BudgetManager from) {
            ProgramAllotment.Transfer transfer = from.takeUnspent(PROGRAM);
            BudgetManager to = managers.get(random.nextInt(GATEWAYS));
            if (random.nextInt(4) > 0) {
                executor.schedule(
                        () -> to.addTransferred(PROGRAM, transfer), random.nextInt(40), TimeUnit.MILLISECONDS);
            }
        }

        private void endTurn(BudgetManager manager, boolean granted, long tokens) {
            if (granted) {
                handedOut += tokens;
                manager.release(PROGRAM, MAXIMUM_TOKENS, tokens);
            }
            startTurn(manager);
        }
    }
}
