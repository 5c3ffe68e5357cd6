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

/**
 * Simulates several entries with real {@link FleetLimits} over a fake network, a fake log and a virtual clock. The
 * clocks of the VMs differ by days.
 */
final class TestFleet {
    static final String SERVICE = "tutor";
    static final String ACCOUNT = "school";
    private static final long LOG_READ_MILLIS = 100;
    private static final long MEMBERSHIP_UPDATE_MILLIS = 100;
    private static final long MEMBER_TIMEOUT_MILLIS = 2_000;
    /** A crash closes connections, so peers detect it sooner than a VM that stops responding. */
    private static final long LOST_CONNECTION_MILLIS = 600;

    final SplittableRandom random;
    final WindowCheck windows = new WindowCheck();
    final List<Node> nodes = new ArrayList<>();
    final Set<String> cutLinks = new HashSet<>();
    final List<LimitGenerationRecord> log = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    LimitSettings settings = LimitSettings.defaults();
    /** Maps a sent message to the copies that arrive. Tests replace it to drop, duplicate or change messages. */
    Function<LimitMessage, List<LimitMessage>> network = List::of;

    double lossProbability;
    double duplicationProbability;
    double delayProbability;
    /** Fraction of the taken tokens that are returned within three seconds. */
    double giveBackProbability;

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

    /** Creates a fleet that has started, with the account's bucket full. */
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

    /** Advances the virtual time. */
    void run(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().millis() <= end) {
            Event event = events.poll();
            now = event.millis();
            event.action().run();
        }
        now = end;
    }

    /** Sends requests at an even rate, each to the entry that the function returns for its time. */
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
        recordLimits();
        nodes.forEach(node -> at(now + random.nextLong(300), () -> node.runWhenUp(node::readDocument)));
    }

    /** While a document spreads, old and new limits are in force at some entries, so the check uses the largest. */
    private void recordLimits() {
        long largestRate =
                nodes.stream().mapToLong(node -> node.rateInForce).max().orElse(rate);
        long largestBurst =
                nodes.stream().mapToLong(node -> node.burstInForce).max().orElse(burst);
        windows.setLimits(now, largestRate, largestBurst);
    }

    /** Restarts one VM with different settings. */
    void restartWith(int index, LimitSettings changed) {
        LimitSettings previous = settings;
        settings = changed;
        node(index).restart();
        settings = previous;
    }

    void cutLink(Node one, Node other) {
        cutLinks.add(one.id.name() + other.id.name());
        cutLinks.add(other.id.name() + one.id.name());
    }

    void isolate(Node node) {
        node.cutFromLog = true;
        nodes.forEach(other -> cutLink(node, other));
    }

    void heal() {
        cutLinks.clear();
        nodes.forEach(node -> node.cutFromLog = false);
        logDown = false;
    }

    long invariantViolations() {
        return nodes.stream()
                .mapToLong(node -> node.limits.invariantViolations())
                .sum();
    }

    long rate() {
        return rate;
    }

    double refusedFraction() {
        return refused / (double) offered;
    }

    /** One entry VM. */
    final class Node {
        VmId id;
        FleetLimits limits;
        boolean cutFromLog;
        boolean crashed;
        long pausedUntil;
        /**
         * Set by a test that breaks a safety mechanism: the clock stops during a pause, which a real monotonic clock
         * must not do.
         */
        boolean clockStopsInPause;

        private final long clockOffset = random.nextLong(1_000_000_000L);
        private long clockLostMillis;
        private int logNext;
        private long rateInForce;
        private long burstInForce;
        private final List<Runnable> delayedActions = new ArrayList<>();
        private final List<Long> lastSeenMillis = new ArrayList<>();

        Node(String name, long incarnation) {
            start(name, incarnation);
            every(5, () -> limits.tick(local()));
            every(LOG_READ_MILLIS, this::read);
            every(MEMBERSHIP_UPDATE_MILLIS, this::updateMembership);
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
            recordLimits();
            limits.setLimits(local(), SERVICE, ACCOUNT, (double) rate, (double) burst, version);
        }

        long local() {
            return now + clockOffset - clockLostMillis;
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

        /** Runs the action now or when a pause ends. A crash discards it. */
        private void runWhenUp(Runnable action) {
            if (crashed) {
                return;
            }
            if (now < pausedUntil) {
                delayedActions.add(action);
                return;
            }
            action.run();
        }

        void pause(long millis) {
            pausedUntil = now + millis;
            at(pausedUntil, () -> {
                if (clockStopsInPause) {
                    clockLostMillis += millis;
                }
                List<Runnable> due = List.copyOf(delayedActions);
                delayedActions.clear();
                // Requests run before the delayed actions, the worst case for a VM that must no longer use its parts.
                for (int count = 0; count < burst; count++) {
                    request();
                }
                due.forEach(this::runWhenUp);
            });
        }

        void crash() {
            crashed = true;
            delayedActions.clear();
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
                if (random.nextDouble() < giveBackProbability) {
                    giveBackLater(taken, token.takeSequence(), limits);
                }
            } else if (take instanceof Take.Refused) {
                refused++;
            } else {
                waited++;
            }
        }

        private void giveBackLater(long taken, long takeSequence, FleetLimits holder) {
            at(
                    now + random.nextLong(3_000),
                    () -> runWhenUp(() -> {
                        if (limits == holder) {
                            limits.giveBack(SERVICE, ACCOUNT, takeSequence);
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
                    if (random.nextDouble() < duplicationProbability) {
                        deliver(sender, receiver, copy);
                    }
                }
            });
        }

        private void deliver(VmId sender, Node receiver, LimitMessage message) {
            boolean isCut = cutLinks.contains(sender.name() + receiver.id.name());
            if (isCut || random.nextDouble() < lossProbability) {
                return;
            }
            long delayMillis = random.nextDouble() < delayProbability ? random.nextLong(8_000) : 0;
            VmId addressee = receiver.id;
            at(
                    now + 1 + random.nextLong(2) + delayMillis,
                    () -> receiver.runWhenUp(() -> {
                        // A message to a former incarnation was sent on a connection that is closed.
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
                    () -> runWhenUp(() -> {
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

        private void updateMembership() {
            while (lastSeenMillis.size() < nodes.size()) {
                lastSeenMillis.add(Long.MIN_VALUE / 2);
            }
            List<Member> members = new ArrayList<>();
            for (int index = 0; index < nodes.size(); index++) {
                Node other = nodes.get(index);
                boolean unresponsive = other.crashed || now < other.pausedUntil;
                boolean reachable = !unresponsive && !cutLinks.contains(id.name() + other.id.name());
                if (reachable || other == this) {
                    lastSeenMillis.set(index, now);
                }
                long timeoutMillis = other.crashed ? LOST_CONNECTION_MILLIS : MEMBER_TIMEOUT_MILLIS;
                boolean alive = now - lastSeenMillis.get(index) < timeoutMillis;
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
