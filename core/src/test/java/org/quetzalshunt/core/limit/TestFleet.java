package org.quetzalshunt.core.limit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import org.quetzalshunt.core.membership.Member;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;

/** Several real FleetLimits over a fake network, a fake log and a virtual clock. Every VM's own clock is off by days. */
final class TestFleet {
    static final String SERVICE = "tutor";
    static final String ACCOUNT = "school";
    private static final long READ_EVERY_MILLIS = 100;
    private static final long HEARD_EVERY_MILLIS = 100;
    private static final long SILENCE_MILLIS = 2_000;
    /** A crash closes connections, so that peers know of it sooner than of a silence. */
    private static final long LOST_CONNECTION_MILLIS = 600;

    final SplittableRandom random;
    final WindowCheck windows = new WindowCheck();
    final List<Node> nodes = new ArrayList<>();
    final Set<String> cutLinks = new HashSet<>();
    final List<LimitGenerationRecord> log = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    LimitSettings settings = LimitSettings.defaults();
    /** What the network makes of a message: the copies that arrive. Mutations and scripted losses go here. */
    Function<LimitMessage, List<LimitMessage>> network = List::of;

    double loss;
    double duplication;
    double lateness;
    /** Share of taken tokens that are given back within three seconds. */
    double giveBackShare;

    boolean logDown;
    long now;
    long refused;
    long offered;
    long waited;
    long messages;
    private long sequence;
    private long rate;
    private long burst;
    private long version;

    TestFleet(long seed, int size, long rate, long burst) {
        this.random = new SplittableRandom(seed);
        setLimit(rate, burst);
        for (int index = 0; index < size; index++) {
            nodes.add(new Node("entry-" + index, 1));
        }
    }

    /** A fleet that is up, with the account's bucket full. */
    static TestFleet started(long seed, int size, long rate, long burst) {
        TestFleet fleet = new TestFleet(seed, size, rate, burst);
        fleet.run(3_000);
        return fleet;
    }

    private record Event(long millis, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return millis != other.millis ? Long.compare(millis, other.millis) : Long.compare(order, other.order);
        }
    }

    void at(long millis, Runnable action) {
        events.add(new Event(millis, sequence++, action));
    }

    /** Lets virtual time pass. */
    void run(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().millis() <= end) {
            Event event = events.poll();
            now = event.millis();
            event.action().run();
        }
        now = end;
    }

    /** Requests at an even pace, each at the entry that the function names for its time. */
    void traffic(long millis, double perSecond, Function<Long, Node> entry) {
        long end = now + millis;
        double interval = 1_000 / perSecond;
        for (double time = now + interval; time <= end; time += interval) {
            long arrival = (long) time;
            at(arrival, () -> entry.apply(arrival).request());
        }
        run(millis);
    }

    void setLimit(long newRate, long newBurst) {
        rate = newRate;
        burst = newBurst;
        version++;
        noteLimits();
        nodes.forEach(node -> at(now + random.nextLong(300), () -> node.whenUp(node::readDocument)));
    }

    /** While a document spreads, old and new limits are in force somewhere: the check takes the largest. */
    private void noteLimits() {
        long largestRate =
                nodes.stream().mapToLong(node -> node.rateInForce).max().orElse(rate);
        long largestBurst =
                nodes.stream().mapToLong(node -> node.burstInForce).max().orElse(burst);
        windows.limit(now, largestRate, largestBurst);
    }

    /** Restarts one VM with settings of its own. */
    void restartWith(int index, LimitSettings others) {
        LimitSettings usual = settings;
        settings = others;
        node(index).restart();
        settings = usual;
    }

    void cut(Node one, Node other) {
        cutLinks.add(one.id.name() + other.id.name());
        cutLinks.add(other.id.name() + one.id.name());
    }

    void cutOff(Node node) {
        node.cutFromLog = true;
        nodes.forEach(other -> cut(node, other));
    }

    void heal() {
        cutLinks.clear();
        nodes.forEach(node -> node.cutFromLog = false);
        logDown = false;
    }

    long brokenPromises() {
        return nodes.stream().mapToLong(node -> node.limits.brokenPromises()).sum();
    }

    long rate() {
        return rate;
    }

    double refusedShare() {
        return refused / (double) offered;
    }

    /** One entry VM. */
    final class Node {
        VmId id;
        FleetLimits limits;
        boolean cutFromLog;
        boolean crashed;
        long pausedUntil;
        /** Set by a mutation: the clock stands still during a pause, as no real monotonic clock may. */
        boolean clockStopsInPause;

        private final long clockOffset = random.nextLong(1_000_000_000L);
        private long clockLost;
        private int logNext;
        private long rateInForce;
        private long burstInForce;
        private final List<Runnable> heldBack = new ArrayList<>();
        private final List<Long> lastHeard = new ArrayList<>();

        Node(String name, long incarnation) {
            start(name, incarnation);
            every(5, () -> limits.tick(local()));
            every(READ_EVERY_MILLIS, this::read);
            every(HEARD_EVERY_MILLIS, this::hear);
        }

        private void start(String name, long incarnation) {
            id = VmId.of(name, incarnation);
            limits = FleetLimits.create(id, settings, LimitPort.of(this::send, this::append));
            logNext = 0;
            readDocument();
        }

        private void readDocument() {
            rateInForce = rate;
            burstInForce = burst;
            noteLimits();
            limits.documentChanged(local(), SERVICE, ACCOUNT, (double) rate, (double) burst, version);
        }

        long local() {
            return now + clockOffset - clockLost;
        }

        private void every(long period, Runnable action) {
            at(now + random.nextLong(period) + 1, () -> {
                if (!crashed && now >= pausedUntil) {
                    action.run();
                }
                repeat(period, action);
            });
        }

        private void repeat(long period, Runnable action) {
            at(now + period, () -> {
                if (!crashed && now >= pausedUntil) {
                    action.run();
                }
                repeat(period, action);
            });
        }

        /** Runs now, or when a pause ends; a crash forgets it. */
        private void whenUp(Runnable action) {
            if (crashed) {
                return;
            }
            if (now < pausedUntil) {
                heldBack.add(action);
                return;
            }
            action.run();
        }

        void pause(long millis) {
            pausedUntil = now + millis;
            at(pausedUntil, () -> {
                if (clockStopsInPause) {
                    clockLost += millis;
                }
                List<Runnable> due = List.copyOf(heldBack);
                heldBack.clear();
                // Requests come before anything else: the hardest order for a VM that should have stopped.
                for (int count = 0; count < burst; count++) {
                    request();
                }
                due.forEach(this::whenUp);
            });
        }

        void crash() {
            crashed = true;
            heldBack.clear();
        }

        void restart() {
            crash();
            crashed = false;
            pausedUntil = 0;
            start(id.name(), id.incarnation() + 1);
        }

        void request() {
            if (crashed || now < pausedUntil) {
                return;
            }
            offered++;
            long taken = now;
            Take take = limits.take(local(), SERVICE, ACCOUNT, outcome -> {
                if (outcome instanceof TakeOutcome.Taken) {
                    windows.admitted(now);
                } else {
                    refused++;
                }
            });
            if (take instanceof Take.Taken token) {
                windows.admitted(taken);
                if (random.nextDouble() < giveBackShare) {
                    giveBackLater(taken, token.moment(), limits);
                }
            } else if (take instanceof Take.Refused) {
                refused++;
            } else {
                waited++;
            }
        }

        private void giveBackLater(long taken, long moment, FleetLimits holder) {
            at(
                    now + random.nextLong(3_000),
                    () -> whenUp(() -> {
                        if (limits == holder) {
                            limits.giveBack(SERVICE, ACCOUNT, moment);
                            windows.givenBack(taken);
                        }
                    }));
        }

        private void send(String to, LimitMessage message) {
            messages++;
            VmId sender = id;
            nodes.stream().filter(node -> node.id.name().equals(to)).forEach(receiver -> {
                for (LimitMessage copy : network.apply(message)) {
                    deliver(sender, receiver, copy);
                    if (random.nextDouble() < duplication) {
                        deliver(sender, receiver, copy);
                    }
                }
            });
        }

        private void deliver(VmId sender, Node receiver, LimitMessage message) {
            boolean isCut = cutLinks.contains(sender.name() + receiver.id.name());
            if (isCut || random.nextDouble() < loss) {
                return;
            }
            long late = random.nextDouble() < lateness ? random.nextLong(8_000) : 0;
            VmId addressee = receiver.id;
            at(
                    now + 1 + random.nextLong(2) + late,
                    () -> receiver.whenUp(() -> {
                        // A message to a former incarnation arrived on a connection that is gone.
                        if (receiver.id.equals(addressee)) {
                            receiver.limits.onMessage(receiver.local(), sender, message);
                        }
                    }));
        }

        private void append(LimitGenerationProposal proposal) {
            if (!logDown && !cutFromLog) {
                at(now + 5 + random.nextLong(20), () -> log.add(proposal.record()));
            }
        }

        private void read() {
            if (logDown || cutFromLog) {
                return;
            }
            long sent = local();
            FleetLimits reader = limits;
            int end = log.size();
            at(
                    now + 1 + random.nextLong(3),
                    () -> whenUp(() -> {
                        if (limits != reader) {
                            return;
                        }
                        while (logNext < end) {
                            limits.onGeneration(local(), logNext, log.get(logNext));
                            logNext++;
                        }
                        limits.onLogRead(local(), sent);
                    }));
        }

        private void hear() {
            while (lastHeard.size() < nodes.size()) {
                lastHeard.add(Long.MIN_VALUE / 2);
            }
            List<Member> members = new ArrayList<>();
            for (int index = 0; index < nodes.size(); index++) {
                Node other = nodes.get(index);
                boolean silent = other.crashed || now < other.pausedUntil;
                boolean heard = !silent && !cutLinks.contains(id.name() + other.id.name());
                if (heard || other == this) {
                    lastHeard.set(index, now);
                }
                long patience = other.crashed ? LOST_CONNECTION_MILLIS : SILENCE_MILLIS;
                boolean alive = now - lastHeard.get(index) < patience;
                members.add(member(other, alive));
            }
            limits.membersChanged(local(), members);
        }

        private Member member(Node other, boolean alive) {
            Vm vm = new Vm(other.id.name(), VmRole.ENTRY, "127.0.0.1", 1, "arusha-a", "", false);
            return new Member(other.id, vm, alive, false, 0, 0, 0, List.of());
        }
    }

    Node node(int index) {
        return nodes.get(index);
    }

    void forAll(Consumer<Node> action) {
        nodes.forEach(action);
    }
}
