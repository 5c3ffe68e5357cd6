package org.quetzalshunt.core.budget;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class ProgramAllotmentTest {
    private static final long MAXIMUM_TOKENS = 280;
    private static final long EXPIRES_MILLIS = 60_000;
    private static final boolean TRANSFERABLE = true;

    /** Guards against a turn without tokens that ends the task of its queue by a division by zero. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void turnWithoutTokensNeedsNoFurtherAllotment(boolean transferable) {
        ProgramAllotment allotment = ProgramAllotment.unknown(transferable);
        allotment.read(0, MAXIMUM_TOKENS, EXPIRES_MILLIS);

        assertThat(allotment.nextAllotment(1_000, 0)).isEqualTo(OptionalLong.of(MAXIMUM_TOKENS));
    }

    /**
     * Nine turns of a program arrive at nine different VMs, and its budget covers the maximum of all of them. When
     * every VM kept a spare allotment, the program was refused after four turns.
     */
    @Test
    void everyTurnThatTheBudgetCoversIsGrantedAcrossManyVms() {
        long others = 0;
        for (int vm = 0; vm < 9; vm++) {
            ProgramAllotment allotment = ProgramAllotment.unknown(!TRANSFERABLE);
            allotment.read(others, 0, EXPIRES_MILLIS);
            OptionalLong wanted = allotment.nextAllotment(9 * MAXIMUM_TOKENS, MAXIMUM_TOKENS);
            assertWithMessage("turn " + vm).that(wanted).isEqualTo(OptionalLong.of(MAXIMUM_TOKENS));
            others += wanted.getAsLong();
        }
    }

    /**
     * Nine turns of a program arrive at nine different VMs, each of which transfers its unused tokens to the next. Each
     * turn generates a quarter of its maximum. A VM may raise its allotment for about every third turn at most, and
     * no turn that the budget covers may be refused.
     */
    @Test
    void transfersAvoidMostAppendsAcrossManyVms() {
        long others = 0;
        int raises = 0;
        ProgramAllotment.Transfer transfer = new ProgramAllotment.Transfer(0, 0);
        for (int vm = 0; vm < 9; vm++) {
            ProgramAllotment allotment = ProgramAllotment.unknown(TRANSFERABLE);
            allotment.addTransferred(transfer);
            if (!allotment.covers(MAXIMUM_TOKENS, EXPIRES_MILLIS)) {
                allotment.read(others, 0, EXPIRES_MILLIS);
                long wanted = allotment
                        .nextAllotment(9 * MAXIMUM_TOKENS, MAXIMUM_TOKENS)
                        .getAsLong();
                allotment.granted(wanted, EXPIRES_MILLIS);
                others += wanted;
                raises++;
            }
            allotment.reserve(MAXIMUM_TOKENS);
            allotment.release(MAXIMUM_TOKENS, MAXIMUM_TOKENS / 4);
            transfer = allotment.takeUnspent();
        }
        assertThat(raises).isAtMost(2);
        assertThat(others).isAtMost(9 * MAXIMUM_TOKENS);
    }

    /** Guards against a program that spends tokens of a record that other VMs treat as expired. */
    @Test
    void receivedTokensExpireWithTheirRecord() {
        ProgramAllotment allotment = ProgramAllotment.unknown(TRANSFERABLE);
        allotment.addTransferred(new ProgramAllotment.Transfer(MAXIMUM_TOKENS, EXPIRES_MILLIS - 1));
        assertThat(allotment.covers(MAXIMUM_TOKENS, EXPIRES_MILLIS - 1)).isTrue();
        assertThat(allotment.covers(MAXIMUM_TOKENS, EXPIRES_MILLIS)).isFalse();

        allotment.read(MAXIMUM_TOKENS, 0, EXPIRES_MILLIS);
        allotment.discardReceivedBefore(EXPIRES_MILLIS);
        allotment.granted(
                allotment.nextAllotment(3 * MAXIMUM_TOKENS, MAXIMUM_TOKENS).getAsLong(), EXPIRES_MILLIS);
        assertThat(allotment.allotted()).isEqualTo(MAXIMUM_TOKENS);
        assertThat(allotment.covers(MAXIMUM_TOKENS, EXPIRES_MILLIS)).isTrue();
    }

    @Test
    void ownTokensAreValidAgainAfterRenewal() {
        ProgramAllotment allotment = ProgramAllotment.unknown(TRANSFERABLE);
        allotment.read(0, 0, EXPIRES_MILLIS);
        allotment.granted(2 * MAXIMUM_TOKENS, EXPIRES_MILLIS);
        assertThat(allotment.covers(MAXIMUM_TOKENS, EXPIRES_MILLIS + 1)).isFalse();

        allotment.discardReceivedBefore(EXPIRES_MILLIS + 1);
        allotment.granted(
                allotment.nextAllotment(3 * MAXIMUM_TOKENS, MAXIMUM_TOKENS).getAsLong(), EXPIRES_MILLIS + 1);
        assertThat(allotment.allotted()).isEqualTo(2 * MAXIMUM_TOKENS);
        assertThat(allotment.covers(2 * MAXIMUM_TOKENS, EXPIRES_MILLIS + 1)).isTrue();
    }

    /** Guards against turns of a program without budget that cost their account a rate token at each VM. */
    @ParameterizedTest
    @CsvSource({"4000, 0, true", "4001, 0, false", "4001, 280, true"})
    void exhaustionReportedByAnotherVmIsApplied(long totalAllotted, long received, boolean canStart) {
        ProgramAllotment allotment = ProgramAllotment.unknown(TRANSFERABLE);
        allotment.addTransferred(new ProgramAllotment.Transfer(received, EXPIRES_MILLIS));
        allotment.allottedAtLeast(totalAllotted);
        boolean raised = allotment.nextAllotment(4_000, MAXIMUM_TOKENS).isPresent();
        assertThat(allotment.covers(MAXIMUM_TOKENS, EXPIRES_MILLIS) || raised).isEqualTo(canStart);
    }

    @Test
    void unusedTokensOfATurnReduceTheNextRaise() {
        ProgramAllotment allotment = ProgramAllotment.unknown(!TRANSFERABLE);
        allotment.read(0, 0, EXPIRES_MILLIS);
        allotment.granted(MAXIMUM_TOKENS, EXPIRES_MILLIS);
        allotment.reserve(MAXIMUM_TOKENS);
        allotment.release(MAXIMUM_TOKENS, 70);
        assertThat(allotment.covers(MAXIMUM_TOKENS, EXPIRES_MILLIS)).isFalse();
        assertThat(allotment.nextAllotment(1_400, MAXIMUM_TOKENS)).isEqualTo(OptionalLong.of(70 + MAXIMUM_TOKENS));
    }

    @Test
    void ampleBudgetAllotsTheNextTurnInAdvance() {
        ProgramAllotment allotment = ProgramAllotment.unknown(!TRANSFERABLE);
        allotment.read(0, 0, EXPIRES_MILLIS);
        for (int turn = 0; turn < 2; turn++) {
            allotment.granted(
                    allotment.nextAllotment(20 * MAXIMUM_TOKENS, MAXIMUM_TOKENS).getAsLong(), EXPIRES_MILLIS);
            allotment.reserve(MAXIMUM_TOKENS);
            allotment.release(MAXIMUM_TOKENS, MAXIMUM_TOKENS);
        }
        assertThat(allotment.covers(MAXIMUM_TOKENS, EXPIRES_MILLIS)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"840, 0, true", "840, 1, false", "279, 0, false"})
    void headroomRequiresRoomForFurtherTurns(long budget, long others, boolean hasHeadroom) {
        ProgramAllotment allotment = ProgramAllotment.unknown(!TRANSFERABLE);
        assertThat(allotment.hasHeadroom(budget, MAXIMUM_TOKENS)).isFalse();
        allotment.read(others, 0, EXPIRES_MILLIS);
        assertThat(allotment.hasHeadroom(budget, MAXIMUM_TOKENS)).isEqualTo(hasHeadroom);
    }

    @Test
    void exhaustedBudgetIsRefused() {
        ProgramAllotment allotment = ProgramAllotment.unknown(!TRANSFERABLE);
        allotment.read(4_001, 0, EXPIRES_MILLIS);
        assertThat(allotment.nextAllotment(4_000, MAXIMUM_TOKENS)).isEqualTo(OptionalLong.empty());
    }

    /**
     * A looping program starts turns at several VMs concurrently. VMs crash and restart as new incarnations, while the
     * allotments of the old ones stay in the map. The tokens granted must never exceed the budget plus the maximum of
     * one turn.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void neverGrantsMoreThanTheBudgetAndOneTurn(long seed) {
        simulate(seed, !TRANSFERABLE);
    }

    /** The same while VMs transfer tokens to each other and some of the transfers are lost. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void neverGrantsMoreThanTheBudgetAndOneTurnWithTransfers(long seed) {
        simulate(seed, TRANSFERABLE);
    }

    private static void simulate(long seed, boolean transferable) {
        Random random = new Random(seed);
        long budget = 840L + random.nextInt(4_000);
        Map<String, Long> map = new HashMap<>();
        List<ProgramAllotment> vms = new ArrayList<>();
        List<String> incarnations = new ArrayList<>();
        List<Integer> runningTurns = new ArrayList<>();
        for (int vm = 0; vm < 3; vm++) {
            vms.add(ProgramAllotment.unknown(transferable));
            incarnations.add("vm" + vm);
            runningTurns.add(0);
        }
        long generatedTokens = 0;
        for (int step = 0; step < 400; step++) {
            int vm = random.nextInt(3);
            ProgramAllotment allotment = vms.get(vm);
            if (transferable && random.nextInt(3) == 0) {
                ProgramAllotment.Transfer transfer = allotment.takeUnspent();
                if (random.nextInt(4) > 0) {
                    vms.get(random.nextInt(3)).addTransferred(transfer);
                }
            }
            switch (random.nextInt(4)) {
                case 0, 1 -> {
                    if (!allotment.covers(MAXIMUM_TOKENS, EXPIRES_MILLIS)) {
                        String own = incarnations.get(vm);
                        long others = map.entrySet().stream()
                                .filter(entry -> !entry.getKey().equals(own))
                                .mapToLong(Map.Entry::getValue)
                                .sum();
                        allotment.read(others, map.getOrDefault(own, 0L), EXPIRES_MILLIS);
                        allotment.nextAllotment(budget, MAXIMUM_TOKENS).ifPresent(tokens -> {
                            map.put(own, tokens);
                            allotment.granted(tokens, EXPIRES_MILLIS);
                        });
                    }
                    if (allotment.covers(MAXIMUM_TOKENS, EXPIRES_MILLIS)) {
                        allotment.reserve(MAXIMUM_TOKENS);
                        runningTurns.set(vm, runningTurns.get(vm) + 1);
                    }
                }
                case 2 -> {
                    if (runningTurns.get(vm) > 0) {
                        long tokens = random.nextInt((int) MAXIMUM_TOKENS + 1);
                        generatedTokens += tokens;
                        allotment.release(MAXIMUM_TOKENS, tokens);
                        runningTurns.set(vm, runningTurns.get(vm) - 1);
                    }
                }
                default -> {
                    if (random.nextInt(20) == 0) {
                        generatedTokens += runningTurns.get(vm) * MAXIMUM_TOKENS;
                        vms.set(vm, ProgramAllotment.unknown(transferable));
                        incarnations.set(vm, "vm" + vm + "-" + step);
                        runningTurns.set(vm, 0);
                    }
                }
            }
            assertWithMessage("seed " + seed).that(generatedTokens).isAtMost(budget + MAXIMUM_TOKENS);
        }
    }
}
