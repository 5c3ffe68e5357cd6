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
    private static final long MOST = 280;
    private static final long UNTIL = 60_000;
    private static final boolean CARRIED = true;

    /**
     * A program of nine turns arrives through another VM each time, and each turn generates a quarter of what it may. Its
     * budget covers all of them at their most; with spares held at every VM it was refused after four.
     */
    @Test
    void everyTurnThatTheBudgetCoversIsGrantedAcrossManyVms() {
        long others = 0;
        for (int vm = 0; vm < 9; vm++) {
            ProgramAllotment allotment = ProgramAllotment.unknown(!CARRIED);
            allotment.read(others, 0, UNTIL);
            OptionalLong wanted = allotment.wanted(9 * MOST, MOST);
            assertWithMessage("turn " + vm).that(wanted).isEqualTo(OptionalLong.of(MOST));
            others += wanted.getAsLong();
        }
    }

    /**
     * The same program where each VM gives its tokens to the next one: the shared map is asked for every third turn or so,
     * and no turn that the budget covers at its most is refused.
     */
    @Test
    void tokensThatAreGivenOnSpareMostCallsAcrossManyVms() {
        long others = 0;
        int raises = 0;
        ProgramAllotment.Transfer transfer = new ProgramAllotment.Transfer(0, 0);
        for (int vm = 0; vm < 9; vm++) {
            ProgramAllotment allotment = ProgramAllotment.unknown(CARRIED);
            allotment.received(transfer);
            if (!allotment.covers(MOST, UNTIL)) {
                allotment.read(others, 0, UNTIL);
                long wanted = allotment.wanted(9 * MOST, MOST).getAsLong();
                allotment.granted(wanted, UNTIL);
                others += wanted;
                raises++;
            }
            allotment.started(MOST);
            allotment.ended(MOST, MOST / 4);
            transfer = allotment.giveOn();
        }
        assertThat(raises).isAtMost(2);
        assertThat(others).isAtMost(9 * MOST);
    }

    /** Guards against a program that spends tokens whose record other VMs count as void. */
    @Test
    void receivedTokensCountOnlyUntilTheirRecordExpires() {
        ProgramAllotment allotment = ProgramAllotment.unknown(CARRIED);
        allotment.received(new ProgramAllotment.Transfer(MOST, UNTIL - 1));
        assertThat(allotment.covers(MOST, UNTIL - 1)).isTrue();
        assertThat(allotment.covers(MOST, UNTIL)).isFalse();

        allotment.read(MOST, 0, UNTIL);
        allotment.expire(UNTIL);
        allotment.granted(allotment.wanted(3 * MOST, MOST).getAsLong(), UNTIL);
        assertThat(allotment.allotted()).isEqualTo(MOST);
        assertThat(allotment.covers(MOST, UNTIL)).isTrue();
    }

    @Test
    void ownRecordCountsOnOnceItIsRenewed() {
        ProgramAllotment allotment = ProgramAllotment.unknown(CARRIED);
        allotment.read(0, 0, UNTIL);
        allotment.granted(2 * MOST, UNTIL);
        assertThat(allotment.covers(MOST, UNTIL + 1)).isFalse();

        allotment.expire(UNTIL + 1);
        allotment.granted(allotment.wanted(3 * MOST, MOST).getAsLong(), UNTIL + 1);
        assertThat(allotment.allotted()).isEqualTo(2 * MOST);
        assertThat(allotment.covers(2 * MOST, UNTIL + 1)).isTrue();
    }

    /** Guards against turns of a spent program that cost their account a token of its rate at each VM. */
    @ParameterizedTest
    @CsvSource({"4000, 0, true", "4001, 0, false", "4001, 280, true"})
    void exhaustionThatAnotherVmReportedCounts(long allottedInAll, long received, boolean mayStart) {
        ProgramAllotment allotment = ProgramAllotment.unknown(CARRIED);
        allotment.received(new ProgramAllotment.Transfer(received, UNTIL));
        allotment.allottedAtLeast(allottedInAll);
        boolean raised = allotment.wanted(4_000, MOST).isPresent();
        assertThat(allotment.covers(MOST, UNTIL) || raised).isEqualTo(mayStart);
    }

    @Test
    void nextTurnIsGrantedWithWhatTheLastDidNotHandOut() {
        ProgramAllotment allotment = ProgramAllotment.unknown(!CARRIED);
        allotment.read(0, 0, UNTIL);
        allotment.granted(MOST, UNTIL);
        allotment.started(MOST);
        allotment.ended(MOST, 70);
        assertThat(allotment.covers(MOST, UNTIL)).isFalse();
        assertThat(allotment.wanted(1_400, MOST)).isEqualTo(OptionalLong.of(70 + MOST));
    }

    @Test
    void ampleBudgetSparesTheNextTurnItsCall() {
        ProgramAllotment allotment = ProgramAllotment.unknown(!CARRIED);
        allotment.read(0, 0, UNTIL);
        for (int turn = 0; turn < 2; turn++) {
            allotment.granted(allotment.wanted(20 * MOST, MOST).getAsLong(), UNTIL);
            allotment.started(MOST);
            allotment.ended(MOST, MOST);
        }
        assertThat(allotment.covers(MOST, UNTIL)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"840, 0, true", "840, 1, false", "279, 0, false"})
    void ampleBudgetHasRoomForMoreThanTheTurn(long budget, long others, boolean hasHeadroom) {
        ProgramAllotment allotment = ProgramAllotment.unknown(!CARRIED);
        assertThat(allotment.hasHeadroom(budget, MOST)).isFalse();
        allotment.read(others, 0, UNTIL);
        assertThat(allotment.hasHeadroom(budget, MOST)).isEqualTo(hasHeadroom);
    }

    @Test
    void spentBudgetIsRefused() {
        ProgramAllotment allotment = ProgramAllotment.unknown(!CARRIED);
        allotment.read(4_001, 0, UNTIL);
        assertThat(allotment.wanted(4_000, MOST)).isEqualTo(OptionalLong.empty());
    }

    /**
     * A program loops and starts turns at several VMs at once; VMs die and come back under another life, and their former
     * allotment stays in the map. Over all of it, no more is handed out than the budget and the most of one turn.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void neverHandsOutMoreThanTheBudgetAndOneTurn(long seed) {
        play(seed, !CARRIED);
    }

    /** The same while VMs give their tokens to each other, and lose some of them on the way. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void neverHandsOutMoreAlsoWhereTokensAreGivenOn(long seed) {
        play(seed, CARRIED);
    }

    private static void play(long seed, boolean carried) {
        Random random = new Random(seed);
        long budget = 840L + random.nextInt(4_000);
        Map<String, Long> map = new HashMap<>();
        List<ProgramAllotment> vms = new ArrayList<>();
        List<String> lives = new ArrayList<>();
        List<Integer> running = new ArrayList<>();
        for (int vm = 0; vm < 3; vm++) {
            vms.add(ProgramAllotment.unknown(carried));
            lives.add("vm" + vm);
            running.add(0);
        }
        long handedOut = 0;
        for (int step = 0; step < 400; step++) {
            int vm = random.nextInt(3);
            ProgramAllotment allotment = vms.get(vm);
            if (carried && random.nextInt(3) == 0) {
                ProgramAllotment.Transfer transfer = allotment.giveOn();
                if (random.nextInt(4) > 0) {
                    vms.get(random.nextInt(3)).received(transfer);
                }
            }
            switch (random.nextInt(4)) {
                case 0, 1 -> {
                    if (!allotment.covers(MOST, UNTIL)) {
                        String own = lives.get(vm);
                        long others = map.entrySet().stream()
                                .filter(entry -> !entry.getKey().equals(own))
                                .mapToLong(Map.Entry::getValue)
                                .sum();
                        allotment.read(others, map.getOrDefault(own, 0L), UNTIL);
                        allotment.wanted(budget, MOST).ifPresent(tokens -> {
                            map.put(own, tokens);
                            allotment.granted(tokens, UNTIL);
                        });
                    }
                    if (allotment.covers(MOST, UNTIL)) {
                        allotment.started(MOST);
                        running.set(vm, running.get(vm) + 1);
                    }
                }
                case 2 -> {
                    if (running.get(vm) > 0) {
                        long tokens = random.nextInt((int) MOST + 1);
                        handedOut += tokens;
                        allotment.ended(MOST, tokens);
                        running.set(vm, running.get(vm) - 1);
                    }
                }
                default -> {
                    if (random.nextInt(20) == 0) {
                        handedOut += running.get(vm) * MOST;
                        vms.set(vm, ProgramAllotment.unknown(carried));
                        lives.set(vm, "vm" + vm + "-" + step);
                        running.set(vm, 0);
                    }
                }
            }
            assertWithMessage("seed " + seed).that(handedOut).isAtMost(budget + MOST);
        }
    }
}
