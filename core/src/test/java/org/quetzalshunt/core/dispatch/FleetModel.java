package org.quetzalshunt.core.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.quetzalshunt.core.routing.ServiceUse;

/**
 * Gateways with stale reports before engines that preempt, in virtual time. A turn takes a slot of the less loaded of
 * two engines; prefill stalls the engine's batch; a full engine preempts its least urgent request for a more urgent one,
 * whose prompt it then reads again. Callers return as the platform's callers do: once after a refusal, and their program
 * is tried twice more.
 */
final class FleetModel {
    /** How engines rank requests. */
    enum Ranking {
        ACCOUNT_AND_ROUTE,
        SLACK,
        ONE_FOR_ALL,
        AS_DISPATCHED
    }

    /**
     * A kind of program.
     *
     * @param parallel turns that each step of a program sends at the same time, as sub-agents do
     */
    record Kind(int urgency, int turns, long objectiveMillis, int parallel) {}

    /** Starts of a kind from one time to another, evenly spread. */
    record Load(Kind kind, long fromMillis, long toMillis, int programs) {}

    /** Outcome of a kind; added time is that of first turns before they were sent. */
    static final class Result {
        int programs;
        int inTime;
        int late;
        int refusals;
        long longestHeldRefusal;
        long longestAdded;
        double value;

        double inTimeShare() {
            return inTime / (double) Math.max(1, programs);
        }
    }

    static final Kind URGENT = new Kind(0, 6, 2_500, 1);
    static final Kind BATCH = new Kind(2, 6, 4_000, 1);
    static final int ENGINES = 32;
    private static final int SLOTS = 6;
    private static final long UNTIL_MILLIS = 15_000;
    private static final long STREAM_DEADLINE_MILLIS = 3_000;
    static final long TARGET_LATENCY_MILLIS = 400;
    private static final int TICK = 2;
    private static final double PREFILL_MILLIS = 6;
    private static final double READ_AGAIN_MILLIS = 14;
    private static final double GENERATE_MILLIS = 110;
    private static final long TURN_AND_PAUSE_MILLIS = 240;
    private static final long REPORT_MILLIS = 250;
    private static final long PATIENCE_MILLIS = 2_000;

    private static final class Program {
        Kind kind;
        long startedMillis;
        long offeredMillis;
        int step;
        int open;
        int tries;
        boolean returned;
        boolean dead;
    }

    private static final class Turn {
        Program program;
        int gateway;
        int priority;
        long sentMillis;
        double prefill = PREFILL_MILLIS;
        double generate;
    }

    private static final class Engine {
        final List<Turn> running = new ArrayList<>();
        final List<Turn> queue = new ArrayList<>();

        int load() {
            return running.size() + queue.size();
        }
    }

    private record Event(long atMillis, long order, Runnable action) {}

    private final int gateways;
    private final boolean queueing;
    private final Ranking ranking;
    private final SplittableRandom random;
    private final List<Engine> engines = new ArrayList<>();
    private final List<Dispatcher> dispatchers = new ArrayList<>();
    private final int[] inFlight;
    private final int[] reported;
    private final List<HashMap<Long, Program>> waiting = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final Map<Kind, Result> results = new HashMap<>();
    private long now;
    private long order;
    private long nextId;
    int preemptions;

    private FleetModel(int gateways, boolean queueing, Ranking ranking) {
        this.gateways = gateways;
        this.queueing = queueing;
        this.ranking = ranking;
        this.random = new SplittableRandom(1);
        this.inFlight = new int[gateways];
        this.reported = new int[gateways];
        for (int each = 0; each < ENGINES; each++) {
            engines.add(new Engine());
        }
        for (int each = 0; each < gateways; each++) {
            dispatchers.add(Dispatcher.create(view(each), each));
            waiting.add(new HashMap<>());
        }
    }

    private SlotView view(int gateway) {
        return new SlotView() {
            @Override
            public ServiceUse use(long nowMillis, String service) {
                int peers = Arrays.stream(reported).sum() - reported[gateway];
                return new ServiceUse(ENGINES * SLOTS, inFlight[gateway], peers, gateways - 1);
            }

            @Override
            public int liveVms() {
                return gateways;
            }
        };
    }

    Result of(Kind kind) {
        return results.computeIfAbsent(kind, ignored -> new Result());
    }

    /** The fleet with the queue and its priorities at the engines. */
    static FleetModel withQueue(int gateways, Load... loads) {
        return new FleetModel(gateways, true, Ranking.AS_DISPATCHED).run(loads);
    }

    /** The fleet as without load control: all is sent at once, and engines rank by account and route. */
    static FleetModel withoutQueue(int gateways, Load... loads) {
        return new FleetModel(gateways, false, Ranking.ACCOUNT_AND_ROUTE).run(loads);
    }

    /** The fleet with the queue and another priority at the engines. */
    static FleetModel ranked(int gateways, Ranking ranking, Load... loads) {
        return new FleetModel(gateways, true, ranking).run(loads);
    }

    /** Value of the programs of all kinds, each 1 if in time. */
    double value() {
        return results.values().stream().mapToDouble(result -> result.value).sum();
    }

    private FleetModel run(Load... loads) {
        for (Load load : loads) {
            for (int each = 0; each < load.programs(); each++) {
                Program program = new Program();
                program.kind = load.kind();
                program.startedMillis =
                        load.fromMillis() + (load.toMillis() - load.fromMillis()) * each / load.programs();
                of(load.kind()).programs++;
                at(program.startedMillis, () -> begin(program));
            }
        }
        for (now = 0; now < UNTIL_MILLIS; now += TICK) {
            while (!events.isEmpty() && events.peek().atMillis() <= now) {
                events.poll().action().run();
            }
            engines.forEach(this::tick);
            for (int gateway = 0; gateway < gateways; gateway++) {
                checkQueue(gateway);
                if ((now + gateway * REPORT_MILLIS / gateways) % REPORT_MILLIS < TICK) {
                    report(gateway);
                }
            }
        }
        return this;
    }

    private void at(long millis, Runnable action) {
        events.add(new Event(millis, order++, action));
    }

    private void report(int gateway) {
        reported[gateway] = inFlight[gateway];
        Map<String, Integer> counts = dispatchers.get(gateway).waiting();
        for (int other = 0; other < gateways; other++) {
            if (other != gateway) {
                dispatchers.get(other).onPeerWaiting("vm-" + gateway, counts);
            }
        }
    }

    private void begin(Program program) {
        int gateway = random.nextInt(gateways);
        program.offeredMillis = now;
        if (!queueing) {
            sendStep(program, gateway);
            return;
        }
        long left = program.startedMillis + program.kind.objectiveMillis() - now;
        String route = "kind-" + program.kind.urgency();
        ProgramStart start = new ProgramStart(
                nextId++,
                "llm",
                route,
                "",
                program.kind.urgency(),
                now,
                now + STREAM_DEADLINE_MILLIS,
                TARGET_LATENCY_MILLIS,
                OptionalLong.of(left),
                OptionalLong.empty());
        waiting.get(gateway).put(start.id(), program);
        apply(gateway, start, dispatchers.get(gateway).offer(now, start));
    }

    private void checkQueue(int gateway) {
        if (now % 10 < TICK) {
            dispatchers.get(gateway).takeDue(now).forEach(exit -> apply(gateway, exit.start(), exit.decision()));
        }
    }

    private void apply(int gateway, ProgramStart start, StartDecision decision) {
        if (decision instanceof StartDecision.Wait) {
            return;
        }
        Program program = waiting.get(gateway).remove(start.id());
        Result result = of(program.kind);
        if (decision instanceof StartDecision.Refuse refuse) {
            result.refusals++;
            result.longestHeldRefusal = Math.max(result.longestHeldRefusal, now - start.arrivedMillis());
            refused(program, refuse.retryAfterMillis());
            return;
        }
        result.longestAdded = Math.max(result.longestAdded, now - program.offeredMillis);
        sendStep(program, gateway);
    }

    private void refused(Program program, long retryAfterMillis) {
        if (!program.returned) {
            program.returned = true;
            at(now + retryAfterMillis, () -> begin(program));
            return;
        }
        retryProgram(program);
    }

    private void retryProgram(Program program) {
        program.returned = false;
        program.open = 0;
        program.dead = ++program.tries > 2;
        if (!program.dead) {
            at(now + 100 + random.nextInt(300), () -> {
                if (program.step == 0) {
                    begin(program);
                } else {
                    sendStep(program, random.nextInt(gateways));
                }
            });
        }
    }

    private void sendStep(Program program, int gateway) {
        int parallel = program.step == 0 ? 1 : program.kind.parallel();
        program.open = parallel;
        for (int each = 0; each < parallel; each++) {
            sendTurn(program, each == 0 ? gateway : random.nextInt(gateways));
        }
    }

    private void sendTurn(Program program, int gateway) {
        Turn turn = new Turn();
        turn.program = program;
        turn.gateway = gateway;
        turn.sentMillis = now;
        turn.generate = GENERATE_MILLIS * (0.6 + 0.8 * random.nextDouble());
        turn.priority = priority(program, gateway);
        inFlight[gateway]++;
        dispatchers
                .get(gateway)
                .forecasts()
                .onTurn(now, "llm", "kind-" + program.kind.urgency(), program.step == 0, Optional.empty());
        Engine one = engines.get(random.nextInt(engines.size()));
        Engine other = engines.get(random.nextInt(engines.size()));
        place(one.load() <= other.load() ? one : other, turn);
    }

    private int priority(Program program, int gateway) {
        long left = program.startedMillis + program.kind.objectiveMillis() - now;
        boolean hasSlack = left > (program.kind.turns() - program.step) * TURN_AND_PAUSE_MILLIS;
        return switch (ranking) {
            case ACCOUNT_AND_ROUTE -> program.kind.urgency();
            case SLACK -> 2 * program.kind.urgency() + (hasSlack ? 1 : 0);
            case ONE_FOR_ALL -> 0;
            case AS_DISPATCHED -> dispatchers.get(gateway).enginePriority(now, "llm", program.kind.urgency());
        };
    }

    private void place(Engine engine, Turn turn) {
        if (engine.running.size() < SLOTS) {
            engine.running.add(turn);
            return;
        }
        Turn least = engine.running.stream()
                .max(Comparator.comparingInt(each -> each.priority))
                .orElseThrow();
        if (least.priority > turn.priority) {
            preemptions++;
            least.prefill = READ_AGAIN_MILLIS;
            engine.running.remove(least);
            engine.queue.add(0, least);
            engine.running.add(turn);
            return;
        }
        engine.queue.add(turn);
    }

    private void tick(Engine engine) {
        engine.queue.removeIf(turn -> abandonedBeforeStart(turn));
        while (engine.running.size() < SLOTS && !engine.queue.isEmpty()) {
            Turn next = engine.queue.stream()
                    .min(Comparator.comparingInt(each -> each.priority))
                    .orElseThrow();
            engine.queue.remove(next);
            engine.running.add(next);
        }
        double left = TICK;
        for (Turn turn : engine.running) {
            double part = Math.min(turn.prefill, left);
            turn.prefill -= part;
            left -= part;
        }
        for (Turn turn : List.copyOf(engine.running)) {
            turn.generate -= turn.prefill <= 0 ? left : 0;
            if (turn.generate <= 0) {
                engine.running.remove(turn);
                inFlight[turn.gateway]--;
                ended(turn);
            }
        }
    }

    private boolean abandonedBeforeStart(Turn turn) {
        if (now - turn.sentMillis < PATIENCE_MILLIS) {
            return false;
        }
        inFlight[turn.gateway]--;
        if (turn.program.open > 0) {
            retryProgram(turn.program);
        }
        return true;
    }

    private void ended(Turn turn) {
        Program program = turn.program;
        if (queueing) {
            dispatchers
                    .get(turn.gateway)
                    .forecasts()
                    .onTurnEnded(now, "llm", "kind-" + program.kind.urgency(), Optional.empty(), now - turn.sentMillis);
        }
        if (program.dead || program.open == 0 || --program.open > 0) {
            return;
        }
        program.step++;
        if (program.step < program.kind.turns()) {
            at(now + 60 + random.nextInt(120), () -> sendStep(program, random.nextInt(gateways)));
            return;
        }
        Result result = of(program.kind);
        double used = (now - program.startedMillis) / (double) program.kind.objectiveMillis();
        result.inTime += used <= 1 ? 1 : 0;
        result.late += used > 1 && used <= 2 ? 1 : 0;
        result.value += used <= 1 ? 1 : Math.max(0, 0.75 * (2 - used));
    }
}
