package org.quetzalshunt.core.memory;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class MemoryBudgetTest {
    private static final long MEBIBYTE = 1024 * 1024;

    private final MemoryBudget budget = MemoryBudget.of(1_000);
    private final List<Integer> disconnected = new ArrayList<>();

    private MemoryHolder caller(int number) {
        return budget.open(() -> disconnected.add(number));
    }

    /** Guards against thresholds that refuse programs in progress before new ones. */
    @ParameterizedTest
    @CsvSource({"750,false,false", "751,true,false", "850,true,false", "851,true,true", "951,true,true"})
    void firstTurnsAreRefusedBeforeOtherRequests(long held, boolean refusesFirst, boolean refusesLater) {
        caller(0).hold(MemoryUse.RESPONSES, held);

        assertThat(budget.level().refuses(true)).isEqualTo(refusesFirst);
        assertThat(budget.level().refuses(false)).isEqualTo(refusesLater);
    }

    /** Guards against an exhausted memory that ends the process, and against disconnecting more callers than needed. */
    @Test
    void callersWithTheMostMemoryAreDisconnectedUntilEnoughIsFree() {
        int[] held = {100, 500, 90, 310};
        for (int number = 0; number < held.length; number++) {
            caller(number).hold(MemoryUse.RESPONSES, held[number]);
        }
        budget.relieve(Optional.empty());
        assertThat(disconnected).containsExactly(1);
        assertThat(budget.held()).isEqualTo(500);
        assertThat(budget.peak()).isEqualTo(1_000);
    }

    /** Guards against a request that ends in the middle of its own processing. */
    @Test
    void holderBeingProcessedIsSpared() {
        MemoryHolder processed = caller(0);
        caller(1).hold(MemoryUse.EVENTS, 400);
        processed.hold(MemoryUse.EVENTS, 700);
        budget.relieve(Optional.of(processed));
        assertThat(disconnected).isEmpty();
        caller(2).hold(MemoryUse.EVENTS, 800);
        budget.relieve(Optional.of(processed));
        assertThat(disconnected).containsExactly(2);
    }

    /** Guards against a loop without end when the memory is held by peers, which are not disconnected. */
    @Test
    void memoryOfPeersDisconnectsNoCaller() {
        caller(0);
        budget.measure(MemoryUse.PEERS, 2_000);
        assertThat(budget.relieve(Optional.empty())).isEqualTo(0);
        assertThat(budget.level()).isEqualTo(MemoryLevel.EXHAUSTED);
    }

    /** Guards against a sum that drifts because a request ends after its connection, or is released twice. */
    @Test
    void sumIsZeroWhateverTheOrderOfReleases() {
        Random random = new Random(7);
        for (int caller = 0; caller < 1_000; caller++) {
            MemoryHolder holder = caller(caller);
            holder.hold(MemoryUse.BODIES, random.nextInt(1_000));
            holder.move(MemoryUse.BODIES, MemoryUse.REQUESTS, random.nextInt(1_000));
            holder.release(MemoryUse.BODIES, random.nextInt(1_000));
            holder.hold(MemoryUse.EVENTS, 10);
            holder.close();
            holder.release(MemoryUse.EVENTS, 10);
            holder.hold(MemoryUse.RESPONSES, 10);
        }
        for (MemoryUse use : MemoryUse.values()) {
            assertThat(budget.held(use)).isEqualTo(0);
        }
        assertThat(budget.held()).isEqualTo(0);
        assertThat(budget.holders()).isEqualTo(0);
    }

    /** Guards against a budget that the heap or the direct memory cannot hold, and against one of zero. */
    @ParameterizedTest
    @CsvSource({"682,48", "258,48", "200,25", "88,11", "0,48"})
    void budgetFitsIntoTheVmTheHeapAndDirectMemory(long vm, long expected) {
        OptionalLong vmBytes = vm == 0 ? OptionalLong.empty() : OptionalLong.of(vm * MEBIBYTE);
        BudgetSize size = new BudgetSize(vmBytes, 96 * MEBIBYTE, 48 * MEBIBYTE, 60 * MEBIBYTE);
        assertThat(size.bytes()).isEqualTo(expected * MEBIBYTE);
    }

    /** Guards against sockets that use up the descriptors of the process, and against limits from an unknown number. */
    @Test
    void socketsStayBelowTheDescriptors() {
        DescriptorLimit limit = DescriptorLimit.of(OptionalLong.of(1_000));
        assertThat(limit.excess(799)).isEqualTo(0);
        assertThat(limit.excess(805)).isEqualTo(6);
        assertThat(DescriptorLimit.of(OptionalLong.empty()).excess(1_000_000)).isEqualTo(0);
    }

    /** Guards against a return time that the caller does not honour, and against returns that arrive together. */
    @Test
    void returnsAreInOrderAndSpreadOverTheTimeInWhichMemoryIsFreed() {
        ReturnTimes times = new ReturnTimes();
        long previous = 0;
        for (int refused = 0; refused < 1_000; refused++) {
            long now = refused / 2;
            long returns = now + times.next(now, 9_000);
            assertThat(returns).isAtLeast(previous);
            assertThat(returns).isAtMost(now + ReadProgress.LIMIT_MILLIS);
            previous = returns;
        }
        assertThat(previous).isEqualTo(499 + ReadProgress.LIMIT_MILLIS);
        assertThat(times.next(10_000, 9_000)).isEqualTo(250);
        assertThat(times.next(10_000, 600)).isEqualTo(200);
    }
}
