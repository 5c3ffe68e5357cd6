package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.EventExecutor;
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

final class BudgetManagerTest {
    private static final String PROGRAM = "arusha:loop";
    private static final long MOST = 592;
    private static final long BUDGET = 3 * MOST;
    private static final long KEEP_MILLIS = 70_000;
    private static final int GATEWAYS = 4;
    private static final int PROGRAMS = 40;
    private static final long PLAYED_MILLIS = 2_000;

    private final EventExecutor executor = new DefaultEventExecutor();
    private final NodeClock clock = new NodeClock(() -> {});

    @AfterEach
    void stop() {
        executor.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Programs loop over four gateways while the store loses answers to appends, some of which are done later. A record that
     * lowered an allotment once landed after the allotment had been read anew and handed out; the others counted the lower
     * one, and together they handed out more than the budget and one turn.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void lostAnswersBreakNoBudget(long seed) throws Exception {
        List<Loop> loops = new ArrayList<>();
        for (int program = 0; program < PROGRAMS; program++) {
            loops.add(new Loop(PROGRAMS * seed + program));
        }
        loops.forEach(loop -> executor.execute(loop::start));

        Thread.sleep(PLAYED_MILLIS);

        for (Loop loop : loops) {
            long total = executor.submit(() -> loop.handedOut).get();
            assertWithMessage("loop " + loop.seed).that(total).isAtMost(BUDGET + MOST);
        }
    }

    /** One program that sends its next turn to each gateway as soon as the last one ended there. */
    private final class Loop {
        private final long seed;
        private final Random random;
        private final List<BudgetManager> keepers = new ArrayList<>();
        private long handedOut;

        Loop(long seed) {
            this.seed = seed;
            this.random = new Random(seed);
            LossyMap map = new LossyMap(executor, seed);
            InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
            for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                GatewaySettings settings = new GatewaySettings(
                        "vm-" + gateway, 1, "a", any, any, any, 5_000, 1_000, Map.of(), Policy.whole());
                keepers.add(new BudgetManager(
                        executor, new StoreClient(map, clock), clock, settings, () -> false, this::tellPeers));
            }
        }

        void start() {
            keepers.forEach(this::turn);
        }

        private void turn(BudgetManager keeper) {
            if (random.nextInt(4) == 0) {
                giveOn(keeper);
            }
            keeper.reserve(PROGRAM, BUDGET, MOST, KEEP_MILLIS, clock.now() + 500, verdict -> {
                boolean granted = verdict instanceof BudgetManager.Verdict.Granted;
                long tokens = random.nextInt(3) == 0 ? MOST : 16L * random.nextInt(12);
                long ends = 1L + random.nextInt(60);
                executor.schedule(() -> ended(keeper, granted, tokens), ends, TimeUnit.MILLISECONDS);
            });
        }

        private void tellPeers(String program, long allottedTokens) {
            keepers.forEach(keeper -> keeper.exhaustedElsewhere(program, allottedTokens));
        }

        /** Gives the tokens of one gateway to another, which gets them late or never. */
        private void giveOn(BudgetManager from) {
            ProgramAllotment.Transfer transfer = from.giveOn(PROGRAM);
            BudgetManager to = keepers.get(random.nextInt(GATEWAYS));
            if (random.nextInt(4) > 0) {
                executor.schedule(() -> to.received(PROGRAM, transfer), random.nextInt(40), TimeUnit.MILLISECONDS);
            }
        }

        private void ended(BudgetManager keeper, boolean granted, long tokens) {
            if (granted) {
                handedOut += tokens;
                keeper.release(PROGRAM, MOST, tokens);
            }
            turn(keeper);
        }
    }
}
