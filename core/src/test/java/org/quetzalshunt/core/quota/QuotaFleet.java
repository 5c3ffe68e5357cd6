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
 * VMs that share quotas through a store, in virtual time. The store takes its time for each append of a shard, may be
 * unavailable to all or some VMs, and may lose answers; what an unanswered append asked for is done at once, later or never.
 */
final class QuotaFleet {
    private static final long WAY_MILLIS = 2;
    private static final long APPEND_MILLIS = 2;
    private static final long UNANSWERED_MILLIS = 150;
    private static final int LATEST_MILLIS = 9_000;
    private static final int SHARDS = 96;

    private record Event(long atMillis, long order, Runnable action) {}

    /** A log of records, and the newest one of each key. */
    private static final class Shard {
        final Map<String, QuotaShare> shares = new HashMap<>();
        long end;
        long freeMillis;
    }

    /** One VM: its clock may run fast or slow by a small part. */
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
            round(incarnation);
        }

        void kill() {
            alive = false;
        }

        void stop() {
            if (!serves()) {
                return;
            }
            stopping = true;
            VmHeartbeat last = lease.lastHeartbeat();
            call(this, incarnation, () -> appendHeartbeat(name, last), false, acknowledged -> {});
        }

        boolean serves() {
            return alive && !stopping;
        }

        int parts(String account) {
            return serves() ? leases.parts(account) : 0;
        }

        private void round(long life) {
            if (life != incarnation || !serves()) {
                return;
            }
            if (now < frozenUntilMillis) {
                at(frozenUntilMillis, () -> round(life));
                return;
            }
            long sent = clock();
            boolean snapshot = nextHeartbeat == 0 || random.nextInt(20) == 0;
            call(this, life, () -> read(nextHeartbeat, snapshot), true, answer -> {
                answer.ifPresent(page -> {
                    page.heartbeats().forEach(each -> peers.onHeartbeat(clock(), each.vm(), each.heartbeat()));
                    nextHeartbeat = page.end();
                    if (snapshot) {
                        peers.onSnapshot(clock());
                    }
                    peers.onReadComplete(sent);
                    leases.settle();
                    renew(life);
                });
                boolean calm = lease.inForce(clock()) && leases.settled();
                at(now + RenewalInterval.nextMillis(calm), () -> round(life));
            });
        }

        private void renew(long life) {
            if (sending || !lease.renewalDue(clock())) {
                return;
            }
            sending = true;
            long sent = clock();
            VmHeartbeat heartbeat = lease.nextHeartbeat(sent);
            call(this, life, () -> appendHeartbeat(name, heartbeat), false, acknowledged -> {
                sending = false;
                if (acknowledged.isPresent()) {
                    lease.renewed(clock(), sent, heartbeat);
                    if (heartbeat.epoch() > VmLease.FIRST_EPOCH) {
                        leases.settle();
                    }
                }
            });
        }
    }

    private record HeartbeatPage(List<Sent> heartbeats, int end) {}

    private record Sent(String vm, VmHeartbeat heartbeat) {}

    /** The store as one life of one VM sees it. */
    private final class Store implements ShareStore {
        private final Vm vm;
        private final long life;

        Store(Vm vm, long life) {
            this.vm = vm;
            this.life = life;
        }

        @Override
        public void read(String account, Consumer<Optional<Page>> listener) {
            call(vm, life, () -> page(account), true, listener);
        }

        @Override
        public void write(
                String account,
                Map<String, Optional<QuotaShare>> changes,
                long expectedEnd,
                Consumer<WriteResult> listener) {
            call(
                    vm,
                    life,
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
    private final List<Sent> heartbeats = new ArrayList<>();
    private final Map<String, LongPredicate> unavailable = new HashMap<>();
    /** Answers that nobody hears. */
    private final List<Object> answers = new ArrayList<>();

    private long order;
    long now;
    double lostShare;
    int appends;
    int conflicts;

    QuotaFleet(int size, Map<String, QuotaTerms> quotas, long seed) {
        this.quotas = quotas;
        this.random = new Random(seed);
        for (int number = 0; number < size; number++) {
            String name = "vm-" + number;
            vms.put(name, new Vm(name, 1 + (random.nextDouble() - 0.5) / 100));
        }
    }

    /** Quotas of as many accounts. */
    static Map<String, QuotaTerms> accounts(int count) {
        Map<String, QuotaTerms> quotas = new TreeMap<>();
        for (int number = 0; number < count; number++) {
            quotas.put("account-" + number, new QuotaTerms(20, 20));
        }
        return quotas;
    }

    /** The store does not answer a VM in a time span. */
    void cut(String vm, long fromMillis, long untilMillis) {
        LongPredicate former = unavailable.getOrDefault(vm, ignored -> false);
        unavailable.put(vm, at -> former.test(at) || (at >= fromMillis && at < untilMillis));
    }

    void at(long millis, Runnable action) {
        events.add(new Event(millis, order++, action));
    }

    /** Plays until a moment; the check runs after each event. */
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

    private <T> void call(
            Vm vm, long life, java.util.function.Supplier<T> work, boolean read, Consumer<Optional<T>> listener) {
        Consumer<Optional<T>> answer = result -> deliver(vm, life, () -> listener.accept(result));
        if (unavailable.getOrDefault(vm.name, ignored -> false).test(now)) {
            at(now + UNANSWERED_MILLIS, () -> answer.accept(Optional.empty()));
            return;
        }
        if (!read && random.nextDouble() < lostShare) {
            int fate = random.nextInt(3);
            if (fate > 0) {
                at(now + (fate == 1 ? WAY_MILLIS : random.nextInt(LATEST_MILLIS)), () -> answers.add(work.get()));
            }
            at(now + UNANSWERED_MILLIS, () -> answer.accept(Optional.empty()));
            return;
        }
        at(now + WAY_MILLIS, () -> {
            T result = work.get();
            at(now + WAY_MILLIS, () -> answer.accept(Optional.of(result)));
        });
    }

    /** A frozen VM hears its answers when it wakes; a killed one never. */
    private void deliver(Vm vm, long life, Runnable action) {
        if (vm.incarnation != life || !vm.alive) {
            return;
        }
        if (now < vm.frozenUntilMillis) {
            at(vm.frozenUntilMillis, () -> deliver(vm, life, action));
            return;
        }
        action.run();
    }

    private Boolean appendHeartbeat(String vm, VmHeartbeat heartbeat) {
        return heartbeats.add(new Sent(vm, heartbeat));
    }

    private HeartbeatPage read(int from, boolean snapshot) {
        if (!snapshot) {
            return new HeartbeatPage(List.copyOf(heartbeats.subList(from, heartbeats.size())), heartbeats.size());
        }
        Map<String, Sent> byVm = new TreeMap<>();
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
        shard.freeMillis = Math.max(now, shard.freeMillis) + APPEND_MILLIS;
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
