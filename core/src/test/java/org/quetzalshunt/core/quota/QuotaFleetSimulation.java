package org.quetzalshunt.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

/**
 * Simulates VMs that share quotas through a store, in virtual time. The store takes a fixed time for each append to a
 * shard, may be unavailable to some or all VMs, and may lose answers. An append without an answer is executed at once,
 * later or never.
 */
final class QuotaFleetSimulation {
    private static final long ONE_WAY_MILLIS = 2;
    private static final long APPEND_MILLIS = 2;
    private static final long TIMEOUT_MILLIS = 150;
    private static final int MAXIMUM_DELAY_MILLIS = 9_000;
    private static final int SHARDS = 96;

    private record Event(long atMillis, long order, Runnable action) {}

    /** A log of records, and the newest record of each key. */
    private static final class Shard {
        final Map<String, QuotaShare> shares = new HashMap<>();
        long end;
        long busyUntilMillis;
    }

    /** One VM. Its clock may run slightly fast or slow. */
    final class Vm {
        final String name;
        private final double clockRate;
        private long incarnation;
        private VmLease lease;
        private PeerTable peers;
        QuotaLeases leases;
        private boolean alive;
        private boolean sending;
        private boolean stopping;
        private int nextHeartbeat;
        long frozenUntilMillis;

        Vm(String name, double clockRate) {
            this.name = name;
            this.clockRate = clockRate;
        }

        long clock() {
            return 1_000_000 + (long) (now * clockRate);
        }

        void start() {
            incarnation++;
            alive = true;
            sending = false;
            stopping = false;
            nextHeartbeat = 0;
            lease = VmLease.create(incarnation, "10.0.0.1:1");
            peers = PeerTable.create(name);
            leases = QuotaLeases.create(
                    name, this::clock, peers, lease, new Store(this, incarnation), (account, parts) -> {});
            leases.setAccounts(quotas);
            pollHeartbeats(incarnation);
        }

        void kill() {
            alive = false;
        }

        void stop() {
            if (!serves()) {
                return;
            }
            stopping = true;
            VmHeartbeat last = lease.endWithFinalHeartbeat();
            callStore(this, incarnation, () -> appendHeartbeat(name, last), false, acknowledged -> {});
        }

        boolean serves() {
            return alive && !stopping;
        }

        int parts(String account) {
            return serves() ? leases.parts(account) : 0;
        }

        private void pollHeartbeats(long processIncarnation) {
            if (processIncarnation != incarnation || !serves()) {
                return;
            }
            if (now < frozenUntilMillis) {
                at(frozenUntilMillis, () -> pollHeartbeats(processIncarnation));
                return;
            }
            long sent = clock();
            boolean snapshot = nextHeartbeat == 0 || random.nextInt(20) == 0;
            callStore(this, processIncarnation, () -> read(nextHeartbeat, snapshot), true, answer -> {
                answer.ifPresent(page -> {
                    page.heartbeats().forEach(each -> peers.onHeartbeat(clock(), each.vm(), each.heartbeat()));
                    nextHeartbeat = page.end();
                    if (snapshot) {
                        peers.onSnapshot(clock());
                    }
                    peers.onReadComplete(sent);
                    leases.reconcile();
                    renew(processIncarnation);
                });
                boolean settled = lease.inForce(clock()) && leases.isSettled();
                at(now + RenewalInterval.nextMillis(settled), () -> pollHeartbeats(processIncarnation));
            });
        }

        private void renew(long processIncarnation) {
            if (sending || !lease.renewalDue(clock())) {
                return;
            }
            sending = true;
            long sent = clock();
            VmHeartbeat heartbeat = lease.nextHeartbeat(sent);
            callStore(this, processIncarnation, () -> appendHeartbeat(name, heartbeat), false, acknowledged -> {
                sending = false;
                if (acknowledged.isPresent()) {
                    lease.onRenewalAcknowledged(clock(), sent, heartbeat);
                    if (heartbeat.epoch() > VmLease.FIRST_EPOCH) {
                        leases.reconcile();
                    }
                }
            });
        }
    }

    private record HeartbeatPage(List<SentHeartbeat> heartbeats, int end) {}

    private record SentHeartbeat(String vm, VmHeartbeat heartbeat) {}

    /** The store as seen by one process of one VM. */
    private final class Store implements ShareStore {
        private final Vm vm;
        private final long processIncarnation;

        Store(Vm vm, long processIncarnation) {
            this.vm = vm;
            this.processIncarnation = processIncarnation;
        }

        @Override
        public void read(String account, Consumer<Optional<Page>> listener) {
            callStore(vm, processIncarnation, () -> page(account), true, listener);
        }

        @Override
        public void write(
                String account,
                Map<String, Optional<QuotaShare>> changes,
                long expectedEnd,
                Consumer<WriteResult> listener) {
            callStore(
                    vm,
                    processIncarnation,
                    () -> append(account, changes, expectedEnd),
                    false,
                    answer -> listener.accept(answer.orElse(WriteResult.UNKNOWN)));
        }
    }

    final Map<String, Vm> vms = new TreeMap<>();
    final Map<String, QuotaTerms> quotas;
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> one.atMillis() != other.atMillis()
            ? Long.compare(one.atMillis(), other.atMillis())
            : Long.compare(one.order(), other.order()));
    private final Map<Integer, Shard> shards = new HashMap<>();
    private final List<SentHeartbeat> heartbeats = new ArrayList<>();
    private final Map<String, LongPredicate> unavailable = new HashMap<>();
    /** Results of appends whose answers were lost. */
    private final List<Object> lostResults = new ArrayList<>();

    private long order;
    long now;
    double lossProbability;
    int appends;
    int conflicts;

    QuotaFleetSimulation(int size, Map<String, QuotaTerms> quotas, long seed) {
        this.quotas = quotas;
        this.random = new Random(seed);
        for (int number = 0; number < size; number++) {
            String name = "vm-" + number;
            vms.put(name, new Vm(name, 1 + (random.nextDouble() - 0.5) / 100));
        }
    }

    /** Creates quotas for the given number of accounts. */
    static Map<String, QuotaTerms> accounts(int count) {
        Map<String, QuotaTerms> quotas = new TreeMap<>();
        for (int number = 0; number < count; number++) {
            quotas.put("account-" + number, new QuotaTerms(20, 20));
        }
        return quotas;
    }

    /** Makes the store unavailable to a VM in a time span. */
    void disconnect(String vm, long fromMillis, long untilMillis) {
        LongPredicate former = unavailable.getOrDefault(vm, ignored -> false);
        unavailable.put(vm, at -> former.test(at) || (at >= fromMillis && at < untilMillis));
    }

    void at(long millis, Runnable action) {
        events.add(new Event(millis, order++, action));
    }

    /** Runs the simulation up to a time; the check runs after each event. */
    void run(long untilMillis, Runnable check) {
        while (!events.isEmpty() && events.peek().atMillis() <= untilMillis) {
            Event event = events.poll();
            now = Math.max(now, event.atMillis());
            event.action().run();
            check.run();
        }
        now = untilMillis;
    }

    void run(long untilMillis) {
        run(untilMillis, () -> {});
    }

    int partsInForce(String account) {
        return vms.values().stream().mapToInt(vm -> vm.parts(account)).sum();
    }

    private <T> void callStore(
            Vm vm,
            long processIncarnation,
            java.util.function.Supplier<T> work,
            boolean read,
            Consumer<Optional<T>> listener) {
        Consumer<Optional<T>> answer = result -> deliver(vm, processIncarnation, () -> listener.accept(result));
        if (unavailable.getOrDefault(vm.name, ignored -> false).test(now)) {
            at(now + TIMEOUT_MILLIS, () -> answer.accept(Optional.empty()));
            return;
        }
        if (!read && random.nextDouble() < lossProbability) {
            int outcome = random.nextInt(3);
            if (outcome > 0) {
                at(
                        now + (outcome == 1 ? ONE_WAY_MILLIS : random.nextInt(MAXIMUM_DELAY_MILLIS)),
                        () -> lostResults.add(work.get()));
            }
            at(now + TIMEOUT_MILLIS, () -> answer.accept(Optional.empty()));
            return;
        }
        at(now + ONE_WAY_MILLIS, () -> {
            T result = work.get();
            at(now + ONE_WAY_MILLIS, () -> answer.accept(Optional.of(result)));
        });
    }

    /** Delivers an answer. A frozen VM receives it when it resumes, a killed one never. */
    private void deliver(Vm vm, long processIncarnation, Runnable action) {
        if (vm.incarnation != processIncarnation || !vm.alive) {
            return;
        }
        if (now < vm.frozenUntilMillis) {
            at(vm.frozenUntilMillis, () -> deliver(vm, processIncarnation, action));
            return;
        }
        action.run();
    }

    private Boolean appendHeartbeat(String vm, VmHeartbeat heartbeat) {
        return heartbeats.add(new SentHeartbeat(vm, heartbeat));
    }

    private HeartbeatPage read(int from, boolean snapshot) {
        if (!snapshot) {
            return new HeartbeatPage(List.copyOf(heartbeats.subList(from, heartbeats.size())), heartbeats.size());
        }
        Map<String, SentHeartbeat> byVm = new TreeMap<>();
        heartbeats.forEach(each -> byVm.put(each.vm(), each));
        return new HeartbeatPage(List.copyOf(byVm.values()), heartbeats.size());
    }

    private Shard shard(String account) {
        return shards.computeIfAbsent(Math.floorMod(account.hashCode(), SHARDS), ignored -> new Shard());
    }

    private ShareStore.Page page(String account) {
        Map<String, QuotaShare> found = new HashMap<>();
        String prefix = account + "/";
        shard(account).shares.forEach((key, share) -> {
            if (key.startsWith(prefix)) {
                found.put(key.substring(prefix.length()), share);
            }
        });
        return new ShareStore.Page(found, shard(account).end);
    }

    private ShareStore.WriteResult append(String account, Map<String, Optional<QuotaShare>> changes, long expectedEnd) {
        Shard shard = shard(account);
        shard.busyUntilMillis = Math.max(now, shard.busyUntilMillis) + APPEND_MILLIS;
        appends++;
        if (shard.end != expectedEnd) {
            conflicts++;
            return ShareStore.WriteResult.CONFLICT;
        }
        shard.end += changes.size();
        changes.forEach((vm, share) -> {
            shard.shares.remove(account + "/" + vm);
            share.ifPresent(present -> shard.shares.put(account + "/" + vm, present));
        });
        return ShareStore.WriteResult.WRITTEN;
    }
}
