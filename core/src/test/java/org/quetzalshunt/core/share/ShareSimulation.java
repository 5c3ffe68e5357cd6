package org.quetzalshunt.core.share;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.function.ToDoubleFunction;

/**
 * Programs of many accounts on the slots of one service, in virtual time. VMs refuse first turns of accounts above
 * their share; turns of programs in progress wait in order of arrival at the service.
 */
final class ShareSimulation {
    /** Slot time of a mean program: 6.5 turns of 145 ms. */
    static final double SLOT_SECONDS_PER_PROGRAM = 6.5 * 0.145;

    private static final long OBJECTIVE_MILLIS = 3_500;
    private static final long PATIENCE_MILLIS = 2_000;
    private static final double QUOTA_FACTOR = 1.6;

    /** How the slots are divided. */
    enum Mode {
        OFF,
        EQUAL,
        QUOTA
    }

    /**
     * @param usualRates programs per second by account
     * @param rateFactor factor on an account's usual rate, by account and time in milliseconds
     */
    record Shape(int vms, int slots, double[] usualRates, RateFactor rateFactor, long durationMillis) {}

    interface RateFactor {
        double at(int account, long millis);
    }

    private record Event(long atMillis, long order, Runnable action) {}

    private static final class Turn {
        final Program program;
        final int vm;

        Turn(Program program, int vm) {
            this.program = program;
            this.vm = vm;
        }
    }

    private static final class Program {
        int account;
        long startedMillis;
        int turnsLeft;
        int returnsLeft = 1;
        int retriesLeft = 2;
        boolean first = true;
    }

    private final Shape shape;
    private final Mode mode;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final List<AccountShares> vms = new ArrayList<>();
    private final ArrayDeque<Turn> queue = new ArrayDeque<>();
    private final long countFromMillis;
    private int running;
    private int observedInFlight;
    private long now;
    private long order;
    final long[] arrived;
    final long[] served;
    final long[] refused;
    final double[] slotMillis;

    private ShareSimulation(Shape shape, Mode mode, long countFromMillis) {
        this.shape = shape;
        this.mode = mode;
        this.random = new SplittableRandom(1);
        this.countFromMillis = countFromMillis;
        int accounts = shape.usualRates().length;
        this.arrived = new long[accounts];
        this.served = new long[accounts];
        this.refused = new long[accounts];
        this.slotMillis = new double[accounts];
    }

    /** Runs a simulation; programs that arrive before a given time are not counted. */
    static ShareSimulation run(Shape shape, Mode mode, long countFromMillis) {
        ShareSimulation simulation = new ShareSimulation(shape, mode, countFromMillis);
        simulation.run();
        return simulation;
    }

    /** Rates of accounts of which the largest have ten or more times the mean, for a mean load of the slots. */
    static double[] unequalRates(int accounts, int slots, double load) {
        double[] rates = new double[accounts];
        double sum = 0;
        for (int i = 0; i < accounts; i++) {
            rates[i] = 1.0 / (i + 1);
            sum += rates[i];
        }
        for (int i = 0; i < accounts; i++) {
            rates[i] *= load * slots / SLOT_SECONDS_PER_PROGRAM / sum;
        }
        return rates;
    }

    private void run() {
        ToDoubleFunction<String> weight = mode == Mode.EQUAL
                ? account -> 1
                : account -> QUOTA_FACTOR * shape.usualRates()[Integer.parseInt(account)];
        for (int vm = 0; vm < shape.vms(); vm++) {
            vms.add(AccountShares.create(weight, vm));
        }
        for (int account = 0; account < shape.usualRates().length; account++) {
            scheduleArrival(account);
        }
        schedule(0, this::tick);
        long interval = shape.vms() > 50 ? 533 : 250;
        for (int vm = 0; vm < shape.vms() && mode != Mode.OFF; vm++) {
            int sender = vm;
            schedule(random.nextLong(interval), () -> report(sender, interval));
        }
        while (!events.isEmpty() && events.peek().atMillis() < shape.durationMillis()) {
            Event event = events.poll();
            now = event.atMillis();
            event.action().run();
        }
    }

    private void schedule(long delayMillis, Runnable action) {
        events.add(new Event(now + delayMillis, order++, action));
    }

    private void scheduleArrival(int account) {
        double highest = 5 * shape.usualRates()[account];
        long delay = (long) Math.ceil(-Math.log(1 - random.nextDouble()) / highest * 1_000);
        schedule(delay, () -> {
            if (random.nextDouble() * 5 < shape.rateFactor().at(account, now)) {
                startProgram(account);
            }
            scheduleArrival(account);
        });
    }

    private void startProgram(int account) {
        Program program = new Program();
        program.account = account;
        program.startedMillis = now;
        program.turnsLeft = 4 + random.nextInt(6);
        arrived[account] += isCounted(program) ? 1 : 0;
        send(program);
    }

    /** Programs that arrive late in the simulation cannot end within it. */
    private boolean isCounted(Program program) {
        return program.startedMillis >= countFromMillis
                && program.startedMillis < shape.durationMillis() - OBJECTIVE_MILLIS;
    }

    private void send(Program program) {
        int vm = random.nextInt(shape.vms());
        String account = Integer.toString(program.account);
        if (mode != Mode.OFF && program.first && vms.get(vm).isAboveShare(now, "s", account)) {
            refused[program.account]++;
            if (program.returnsLeft-- > 0) {
                long left = OBJECTIVE_MILLIS - (now - program.startedMillis);
                schedule(
                        vms.get(vm).retryAfterMillis(now, "s", account, left, random.nextDouble()),
                        () -> send(program));
            }
            return;
        }
        if (running + queue.size() >= 4 * shape.slots()) {
            if (program.retriesLeft-- > 0) {
                schedule(random.nextLong(100, 400), () -> send(program));
            }
            return;
        }
        program.first = false;
        Turn turn = new Turn(program, vm);
        vms.get(vm).started(now, "s", account);
        if (running < shape.slots()) {
            begin(turn);
            return;
        }
        queue.add(turn);
        schedule(PATIENCE_MILLIS, () -> abandon(turn));
    }

    private void abandon(Turn turn) {
        if (queue.remove(turn)) {
            finished(turn);
        }
    }

    private void finished(Turn turn) {
        vms.get(turn.vm).finished(now, "s", Integer.toString(turn.program.account));
    }

    private void begin(Turn turn) {
        running++;
        long millis = random.nextLong(110, 181);
        slotMillis[turn.program.account] += now >= countFromMillis ? millis : 0;
        schedule(millis, () -> end(turn));
    }

    private void end(Turn turn) {
        running--;
        finished(turn);
        if (!queue.isEmpty()) {
            begin(queue.poll());
        }
        Program program = turn.program;
        program.retriesLeft = 2;
        if (--program.turnsLeft > 0) {
            schedule(random.nextLong(60, 141), () -> send(program));
        } else if (now - program.startedMillis <= OBJECTIVE_MILLIS && isCounted(program)) {
            served[program.account]++;
        }
    }

    /** Each VM knows the requests in flight with a delay of about one report. */
    private void tick() {
        boolean isShort = observedInFlight >= 0.9 * shape.slots();
        int inFlight = running + queue.size();
        schedule(250, () -> observedInFlight = inFlight);
        if (mode != Mode.OFF) {
            vms.forEach(vm -> vm.setService(now, "s", shape.slots(), isShort));
        }
        schedule(50, this::tick);
    }

    private void report(int sender, long intervalMillis) {
        int messagesPerSecond = (int) ((shape.vms() - 1) * 1_000L / intervalMillis);
        var use = vms.get(sender).report(now, ReportSize.accounts(messagesPerSecond));
        if (!use.isEmpty()) {
            for (int vm = 0; vm < shape.vms(); vm++) {
                if (vm != sender) {
                    vms.get(vm).onPeerReport(now, Integer.toString(sender), use);
                }
            }
        }
        schedule(intervalMillis, () -> report(sender, intervalMillis));
    }

    /** Part of the selected accounts' counted programs that ended in time. */
    double servedPart(IntPredicate selected) {
        long arrivals = 0;
        long ended = 0;
        for (int account = 0; account < arrived.length; account++) {
            arrivals += selected.test(account) ? arrived[account] : 0;
            ended += selected.test(account) ? served[account] : 0;
        }
        return ended / (double) arrivals;
    }
}
