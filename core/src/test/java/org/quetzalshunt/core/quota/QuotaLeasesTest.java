package org.quetzalshunt.core.quota;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class QuotaLeasesTest {
    private static final List<String> ACCOUNTS = List.of("arusha", "moshi", "karatu");
    private static final Map<String, Double> BURSTS = Map.of("arusha", 200.0, "moshi", 20.0, "karatu", 20.0);

    /** The shared map as the ledgers see it: one order of records, and appends that expect its end. */
    private static final class Records {
        final Map<String, LeaseRecord> newest = new HashMap<>();
        long end;

        boolean append(String vm, LeaseRecord record, long expectedEnd) {
            if (expectedEnd != end) {
                return false;
            }
            newest.put(vm, record);
            end++;
            return true;
        }
    }

    /** A VM with a clock of its own rate of progress. */
    private static final class Vm {
        final String name;
        QuotaLeases ledger;
        long incarnation;
        long readEnd;

        Vm(String name) {
            this.name = name;
            restart();
        }

        void restart() {
            incarnation++;
            // A new process knows no end until it has read the records.
            readEnd = -1;
            ledger = QuotaLeases.create(name, incarnation, "10.0.0.1:1");
        }

        void read(Records records, long now) {
            records.newest.forEach((vm, record) -> ledger.seen(now, vm, record));
            readEnd = records.end;
        }

        /** Proposes on what it read; the answer may be lost. */
        void propose(Records records, long now, boolean answerLost) {
            Optional<LeaseRecord> proposal = ledger.propose(now, BURSTS);
            if (proposal.isEmpty()) {
                return;
            }
            ledger.sending(now, proposal.get());
            if (records.append(name, proposal.get(), readEnd) && !answerLost) {
                ledger.kept(now, proposal.get());
            }
        }
    }

    private static void settle(List<Vm> vms, Records records, long from, int rounds) {
        for (int round = 0; round < rounds; round++) {
            for (Vm vm : vms) {
                vm.read(records, from + round * 1_000L);
                vm.propose(records, from + round * 1_000L, false);
            }
        }
    }

    @Test
    void wholeRateIsInUseOnceVmsHaveSettled() {
        Records records = new Records();
        List<Vm> vms = List.of(new Vm("a"), new Vm("b"), new Vm("c"), new Vm("d"));
        settle(vms, records, 0, 6);

        for (String account : ACCOUNTS) {
            int parts =
                    vms.stream().mapToInt(vm -> vm.ledger.parts(5_500, account)).sum();
            assertWithMessage(account).that(parts).isAtLeast(QuotaLeases.ALL_PARTS * 95 / 100);
            String home = vms.get(0).ledger.homes(account).get(0);
            int atHome = vms.stream()
                    .filter(vm -> vm.name.equals(home))
                    .mapToInt(vm -> vm.ledger.parts(5_500, account))
                    .sum();
            assertWithMessage("home of " + account).that(atHome).isAtLeast(QuotaLeases.ALL_PARTS / 2);
        }
    }

    /**
     * Four VMs share a burst of 20. A fortieth of it is half a token: dealt, it could never be spent, and callers of an
     * account at its rate would be refused a tenth of what they may send.
     */
    @Test
    void noPartIsTooSmallToHoldAToken() {
        Records records = new Records();
        List<Vm> vms = List.of(new Vm("a"), new Vm("b"), new Vm("c"), new Vm("d"));
        settle(vms, records, 0, 6);
        for (Map.Entry<String, Double> burst : BURSTS.entrySet()) {
            for (Vm vm : vms) {
                int parts = vm.ledger.parts(5_500, burst.getKey());
                double tokens = burst.getValue() * parts / QuotaLeases.ALL_PARTS;
                assertWithMessage(burst.getKey() + " at " + vm.name)
                        .that(parts == 0 || tokens >= 1)
                        .isTrue();
            }
        }
    }

    /**
     * A VM that is cut off goes on to spend its part until its lease ends. Another must not take that part over before:
     * an account would get its rate twice.
     */
    @Test
    void partOfASilentVmIsTakenOverOnlyAfterItsLease() {
        Records records = new Records();
        Vm silent = new Vm("a");
        Vm other = new Vm("b");
        settle(List.of(silent, other), records, 0, 4);
        for (long now = 3_100; now < 20_000; now += 100) {
            other.read(records, now);
            other.propose(records, now, false);
            for (String account : ACCOUNTS) {
                int sum = silent.ledger.parts(now, account) + other.ledger.parts(now, account);
                assertWithMessage("at " + now).that(sum).isAtMost(QuotaLeases.ALL_PARTS);
            }
        }
        assertThat(other.ledger.parts(19_900, "arusha")).isEqualTo(QuotaLeases.ALL_PARTS);
    }

    /** All VMs are killed at once. Their names come back at once, and with them the parts: no one waits for a lease. */
    @Test
    void restartedVmsTakeTheirPartsBackAtOnce() {
        Records records = new Records();
        List<Vm> vms = List.of(new Vm("a"), new Vm("b"), new Vm("c"));
        settle(vms, records, 0, 5);
        vms.forEach(Vm::restart);
        settle(vms, records, 5_000, 1);

        int parts =
                vms.stream().mapToInt(vm -> vm.ledger.parts(5_000, "arusha")).sum();
        assertThat(parts).isAtLeast(QuotaLeases.ALL_PARTS * 80 / 100);
    }

    @Test
    void pauseOfUnknownLengthEndsTheLease() {
        Records records = new Records();
        Vm vm = new Vm("a");
        settle(List.of(vm), records, 0, 2);
        vm.ledger.lapse();
        assertThat(vm.ledger.leased(1_000)).isFalse();
        assertThat(vm.ledger.parts(1_000, "arusha")).isEqualTo(0);
    }

    /**
     * VMs read at different times, answers of appends are lost, VMs are killed and come back. However it goes, the parts
     * that are in use at one moment never add up to more than the whole.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void partsInUseNeverExceedTheWhole(long seed) {
        Random random = new Random(seed);
        Records records = new Records();
        List<Vm> vms = new ArrayList<>();
        for (int number = 0; number < 5; number++) {
            vms.add(new Vm("vm-" + number));
        }
        for (long now = 0; now < 60_000; now += 1 + random.nextInt(60)) {
            Vm vm = vms.get(random.nextInt(vms.size()));
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> vm.read(records, now);
                case 3, 4, 5 -> vm.propose(records, now, random.nextInt(4) == 0);
                case 6 -> {
                    if (random.nextInt(40) == 0) {
                        vm.restart();
                    }
                }
                default -> {}
            }
            for (String account : ACCOUNTS) {
                long moment = now;
                int sum = vms.stream()
                        .mapToInt(each -> each.ledger.parts(moment, account))
                        .sum();
                assertWithMessage("seed " + seed + " at " + now).that(sum).isAtMost(QuotaLeases.ALL_PARTS);
            }
        }
    }
}
