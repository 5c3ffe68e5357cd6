package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.EventExecutor;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.policy.Policy;
import org.quetzalshunt.core.vm.VmCapacity;

/** Lifetime of the records of a program's tokens, in virtual time. */
final class BudgetRetentionTest {
    private static final String PROGRAM = "arusha:loop";
    private static final long MAXIMUM_TOKENS = 140;
    private static final long BUDGET = 100 * MAXIMUM_TOKENS;
    private static final long NEEDED_MILLIS = 20_000;
    private static final long PAUSE_MILLIS = 9_000;

    private final EventExecutor executor = new DefaultEventExecutor();
    private final MemoryMap map = new MemoryMap();
    private final DecisionLog log = DecisionLog.start("vm", new PrintStream(OutputStream.nullOutputStream()));
    private long nowMillis = 1_000_000;
    private int incarnations;
    private long handedOut;

    @AfterEach
    void stop() {
        executor.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private BudgetManager start(long wallOffsetMillis) {
        NodeClock clock = new NodeClock(() -> {}, () -> nowMillis, () -> nowMillis + wallOffsetMillis);
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        GatewaySettings settings = new GatewaySettings(
                "vm",
                ++incarnations,
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
        return new BudgetManager(
                executor,
                new StoreClient(map, clock),
                clock,
                log,
                settings,
                () -> map.unavailable,
                (program, allotted) -> {});
    }

    private List<BudgetManager> start(int count) {
        List<BudgetManager> managers = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            managers.add(start(0L));
        }
        return managers;
    }

    /** Runs a turn that generates its maximum; returns whether it was granted. */
    private boolean turn(BudgetManager manager) {
        AtomicReference<BudgetManager.Verdict> verdict = new AtomicReference<>();
        manager.reserve(PROGRAM, BUDGET, MAXIMUM_TOKENS, NEEDED_MILLIS, nowMillis, verdict::set);
        if (!(verdict.get() instanceof BudgetManager.Verdict.Granted)) {
            return false;
        }
        handedOut += MAXIMUM_TOKENS;
        manager.release(PROGRAM, MAXIMUM_TOKENS, MAXIMUM_TOKENS);
        return true;
    }

    private void spend(List<BudgetManager> managers, int turns) {
        for (int number = 0; number < turns; number++) {
            turn(managers.get(number % managers.size()));
        }
    }

    private void assertBudgetIsSpentAndNotExceeded() {
        assertThat(handedOut).isAtLeast(BUDGET / 2);
        assertThat(handedOut).isAtMost(BUDGET + MAXIMUM_TOKENS);
    }

    /**
     * Guards against tokens that are no longer counted because the processes that handed them out have ended, although
     * the program goes on through others.
     */
    @ParameterizedTest
    @CsvSource({"1, 1", "2, 1", "2, 3", "3, 10"})
    void tokensOfEndedProcessesStayCounted(int vms, int restarts) {
        List<BudgetManager> managers = start(vms);
        spend(managers, 40);
        for (int restart = 0; restart < restarts; restart++) {
            managers = start(vms);
            for (int number = 0; number < 12; number++) {
                nowMillis += PAUSE_MILLIS;
                spend(managers, 1);
            }
        }

        spend(start(vms), 120);

        assertBudgetIsSpentAndNotExceeded();
    }

    /** Guards against records that expire early by the clock of another VM. */
    @ParameterizedTest
    @ValueSource(longs = {-10_000, -4_000, 4_000, 10_000})
    void tokensStayCountedWithDifferentWallClocks(long offsetMillis) {
        spend(start(2), 40);
        BudgetManager other = start(offsetMillis);
        for (int number = 0; number < 30; number++) {
            nowMillis += PAUSE_MILLIS;
            turn(other);
        }

        spend(start(2), 120);

        assertBudgetIsSpentAndNotExceeded();
    }

    /**
     * Guards against a program that gets a new budget because it was only refused for longer than its records were
     * kept. The gateway that refuses it knows the exhausted budget from the store or from a peer.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void refusedProgramStaysRefused(boolean knownFromPeer) {
        BudgetManager first = start(0L);
        spend(List.of(first), 120);
        assertBudgetIsSpentAndNotExceeded();
        BudgetManager refusing = knownFromPeer ? start(0L) : first;
        if (knownFromPeer) {
            refusing.onPeerExhausted(PROGRAM, handedOut);
        }
        for (int number = 0; number < 60; number++) {
            nowMillis += PAUSE_MILLIS;
            assertThat(turn(refusing)).isFalse();
        }

        nowMillis += NEEDED_MILLIS;

        assertThat(turn(start(0L))).isFalse();
    }

    /** Guards against records that expire while the store is unavailable and nothing can be renewed or granted. */
    @Test
    void tokensStayCountedAfterAnOutageOfTheStore() {
        spend(start(2), 40);
        nowMillis += 45_000;
        map.unavailable = true;
        BudgetManager after = start(0L);
        nowMillis += NEEDED_MILLIS - 5_000;
        map.unavailable = false;
        for (int number = 0; number < 20; number++) {
            turn(after);
            nowMillis += PAUSE_MILLIS;
        }

        spend(start(2), 120);

        assertBudgetIsSpentAndNotExceeded();
    }

    /** Guards against more than two store calls for a turn of a program that goes on for a long time. */
    @Test
    void recordsAreRenewedInSteps() {
        spend(start(2), 10);
        BudgetManager manager = start(0L);
        int turns = 40;
        map.appends = 0;
        map.reads = 0;
        for (int number = 0; number < turns; number++) {
            nowMillis += PAUSE_MILLIS;
            turn(manager);
        }
        assertThat(map.appends + map.reads).isAtMost(2 * turns);
    }

    /** Guards against store calls for each refusal: the records are renewed once in a minute at most. */
    @Test
    void refusalsCostOneRenewalPerMinute() {
        BudgetManager manager = start(0L);
        spend(List.of(manager), 120);
        map.appends = 0;
        map.reads = 0;
        int minutes = 9;
        for (int second = 0; second < 60 * minutes; second++) {
            nowMillis += 1_000;
            assertThat(turn(manager)).isFalse();
        }
        assertThat(map.appends).isAtMost(minutes + 1);
        assertThat(map.reads).isAtMost(minutes + 1);
    }
}
