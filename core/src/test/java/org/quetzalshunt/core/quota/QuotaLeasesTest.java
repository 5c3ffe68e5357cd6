package org.quetzalshunt.core.quota;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

final class QuotaLeasesTest {
    private static final String ACCOUNT = "account-0";

    private static QuotaFleetSimulation settledFleet(int vms, int accounts) {
        QuotaFleetSimulation fleet = new QuotaFleetSimulation(vms, QuotaFleetSimulation.accounts(accounts), 1);
        fleet.vms.values().forEach(QuotaFleetSimulation.Vm::start);
        fleet.run(12_000);
        return fleet;
    }

    private static boolean allQuotasInForce(QuotaFleetSimulation fleet) {
        return fleet.quotas.keySet().stream().allMatch(account -> fleet.partsInForce(account) == QuotaLeases.ALL_PARTS);
    }

    private static int countTaken(QuotaFleetSimulation fleet, String account, int tries) {
        int taken = 0;
        for (QuotaFleetSimulation.Vm vm : fleet.vms.values()) {
            for (int attempt = 0; attempt < tries && vm.serves(); attempt++) {
                taken += vm.leases.reserve(account, 0).taken() ? 1 : 0;
            }
        }
        return taken;
    }

    @ParameterizedTest
    @CsvSource({"1, 8", "8, 8", "41, 90", "100, 200", "334, 200"})
    void wholeQuotasAreInForceOnceVmsHaveSettled(int vms, int accounts) {
        assertThat(allQuotasInForce(settledFleet(vms, accounts))).isTrue();
    }

    /** Guards against several seconds without tokens after a restart of all VMs, at every fleet size. */
    @ParameterizedTest
    @CsvSource({"8, 8", "41, 90", "100, 200", "334, 200"})
    void quotasAreInForceWithinASecondOfAFullRestart(int vms, int accounts) {
        QuotaFleetSimulation fleet = settledFleet(vms, accounts);
        fleet.vms.values().forEach(QuotaFleetSimulation.Vm::kill);
        fleet.run(13_000);
        fleet.vms.values().forEach(QuotaFleetSimulation.Vm::start);
        fleet.run(14_000);
        assertThat(allQuotasInForce(fleet)).isTrue();
    }

    /** Guards against several seconds without tokens after an outage of the store that outlasted all leases. */
    @ParameterizedTest
    @CsvSource({"8, 8, 7000", "41, 90, 7000", "41, 90, 25000", "100, 200, 9000", "334, 200, 9000"})
    void quotasAreInForceWithinASecondOfAnOutage(int vms, int accounts, long outageMillis) {
        QuotaFleetSimulation fleet = settledFleet(vms, accounts);
        long end = 12_000 + outageMillis;
        fleet.vms.keySet().forEach(vm -> fleet.disconnect(vm, 12_000, end));
        fleet.run(end);
        assertThat(fleet.partsInForce(ACCOUNT)).isEqualTo(0);
        fleet.run(end + 1_000);
        assertThat(allQuotasInForce(fleet)).isTrue();
    }

    /** Guards against callers that are rejected after an outage although their account has sent nothing for seconds. */
    @Test
    void tokensEarnedInAnOutageAreNotLost() {
        QuotaFleetSimulation fleet = settledFleet(8, 8);
        fleet.vms.keySet().forEach(vm -> fleet.disconnect(vm, 12_000, 20_000));
        fleet.run(20_900);
        assertThat(countTaken(fleet, ACCOUNT, 40)).isAtLeast(19);
    }

    /**
     * Guards against a restarted process that discards the tokens that its share has earned since the process started.
     */
    @Test
    void tokensEarnedSinceARestartAreNotLost() {
        QuotaFleetSimulation fleet = settledFleet(8, 8);
        fleet.vms.values().forEach(QuotaFleetSimulation.Vm::kill);
        fleet.run(13_000);
        fleet.vms.values().forEach(QuotaFleetSimulation.Vm::start);
        fleet.run(13_900);
        assertThat(countTaken(fleet, ACCOUNT, 40)).isAtLeast(16);
    }

    /**
     * Guards against tokens that are spent twice: by the VM that took over a share, and then by the share's former
     * holder.
     */
    @Test
    void formerHolderOfATakenOverShareStartsWithoutTokens() {
        QuotaFleetSimulation fleet = settledFleet(3, 8);
        QuotaFleetSimulation.Vm owner = fleet.vms.values().stream()
                .filter(vm -> vm.parts(ACCOUNT) > QuotaLeases.ALL_PARTS / 2)
                .findFirst()
                .orElseThrow();
        fleet.disconnect(owner.name, 12_000, 30_000);
        fleet.run(29_900);
        assertThat(owner.parts(ACCOUNT)).isEqualTo(0);
        assertThat(fleet.partsInForce(ACCOUNT)).isEqualTo(QuotaLeases.ALL_PARTS);
        fleet.run(36_000, () -> {
            if (owner.parts(ACCOUNT) > 0) {
                assertThat(owner.leases.reserve(ACCOUNT, 0).taken()).isFalse();
                owner.kill();
            }
        });
        assertThat(owner.serves()).isFalse();
    }

    @Test
    void gracefulShutdownReleasesSharesAtOnce() {
        QuotaFleetSimulation fleet = settledFleet(8, 8);
        QuotaFleetSimulation.Vm owner = fleet.vms.values().stream()
                .filter(vm -> vm.parts(ACCOUNT) > 0)
                .findFirst()
                .orElseThrow();
        owner.stop();
        fleet.run(13_500);
        assertThat(fleet.partsInForce(ACCOUNT)).isEqualTo(QuotaLeases.ALL_PARTS);
    }

    /** Guards against a share of less than one token, which could never be spent. */
    @Test
    void noShareIsTooSmallToHoldAToken() {
        QuotaFleetSimulation fleet =
                new QuotaFleetSimulation(8, Map.of("small", new QuotaTerms(2, 2), "large", new QuotaTerms(9, 9)), 1);
        fleet.vms.values().forEach(QuotaFleetSimulation.Vm::start);
        fleet.run(5_000);
        for (QuotaFleetSimulation.Vm vm : fleet.vms.values()) {
            assertThat(vm.parts("small")).isAnyOf(0, QuotaLeases.ALL_PARTS);
        }
        assertThat(fleet.partsInForce("large")).isEqualTo(QuotaLeases.ALL_PARTS);
    }

    /** Guards against VMs that each claim every quota before they have read each other's heartbeats. */
    @Test
    void firstStartOfAFleetDoesNotFloodTheStore() {
        QuotaFleetSimulation fleet = new QuotaFleetSimulation(41, QuotaFleetSimulation.accounts(90), 1);
        int number = 0;
        for (QuotaFleetSimulation.Vm vm : fleet.vms.values()) {
            fleet.at(10L * number++, vm::start);
        }
        fleet.run(3_000);
        assertThat(allQuotasInForce(fleet)).isTrue();
        assertThat(fleet.appends).isAtMost(10 * 2 * 90);
    }

    private static int conflictsOfARestart(int vms) {
        QuotaFleetSimulation fleet = settledFleet(vms, 200);
        fleet.vms.values().forEach(QuotaFleetSimulation.Vm::kill);
        fleet.run(13_000);
        fleet.conflicts = 0;
        fleet.vms.values().forEach(QuotaFleetSimulation.Vm::start);
        fleet.run(15_000);
        assertThat(allQuotasInForce(fleet)).isTrue();
        return fleet.conflicts;
    }

    /** Guards against append conflicts that grow with the number of VMs although the VMs acquire different accounts. */
    @ParameterizedTest
    @ValueSource(ints = {100, 334})
    void conflictsOfARestartDoNotGrowWithTheFleet(int vms) {
        assertThat(conflictsOfARestart(vms)).isAtMost(conflictsOfARestart(41) * 3 / 2);
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 300);
    }

    /**
     * Guards against an account that gets more than its quota, with lost and late answers, killed processes, frozen
     * holders, VMs that are disconnected from the store, and clocks that run at different rates.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void sharesInForceNeverExceedTheWhole(long seed) {
        Random random = new Random(seed);
        QuotaFleetSimulation fleet = new QuotaFleetSimulation(5, QuotaFleetSimulation.accounts(4), seed);
        fleet.lossProbability = random.nextInt(3) * 0.15;
        fleet.vms.values().forEach(QuotaFleetSimulation.Vm::start);
        for (int fault = 0; fault < 25; fault++) {
            QuotaFleetSimulation.Vm vm = fleet.vms.get("vm-" + random.nextInt(5));
            long at = random.nextInt(60_000);
            long durationMillis = random.nextInt(12_000);
            switch (random.nextInt(5)) {
                case 0 -> {
                    fleet.at(at, vm::kill);
                    fleet.at(at + durationMillis / 4, vm::start);
                }
                case 1 -> fleet.at(at, () -> vm.frozenUntilMillis = at + durationMillis);
                case 2 -> fleet.disconnect(vm.name, at, at + durationMillis);
                case 3 -> fleet.vms.keySet().forEach(name -> fleet.disconnect(name, at, at + durationMillis));
                default -> {
                    fleet.at(at, vm::stop);
                    fleet.at(at + 500, vm::start);
                }
            }
        }
        fleet.run(75_000, () -> {
            for (String account : fleet.quotas.keySet()) {
                assertWithMessage("seed " + seed + " at " + fleet.now)
                        .that(fleet.partsInForce(account))
                        .isAtMost(QuotaLeases.ALL_PARTS);
            }
        });
    }
}
