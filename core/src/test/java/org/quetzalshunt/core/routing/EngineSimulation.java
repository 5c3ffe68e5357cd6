package org.quetzalshunt.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/**
 * Simulates a few gateways and engines in virtual time. Programs send their turns through random gateways with a
 * growing prompt, engines prefill and generate in one batch, and gateways receive each other's load reports with a
 * delay.
 */
final class EngineSimulation {
    /**
     * Parameters of the engines and of the traffic.
     *
     * @param engines number of engines
     * @param slots requests that an engine processes in one batch
     * @param readTokensPerMilli prefill speed; generation stalls during prefill
     * @param stepMillis time per token for a batch of one; each further request adds a fiftieth
     * @param commonTokens size of a common prompt part; programs share eight of them
     * @param memoryTokens capacity of an engine's prefix cache
     * @param programsPerSecond arrival rate of programs
     * @param gateways number of gateways
     * @param reportMillis interval at which each gateway reports its loads to the others
     * @param dataCentres number of data centres over which gateways and engines are spread
     */
    record Shape(
            int engines,
            int slots,
            double readTokensPerMilli,
            double stepMillis,
            long commonTokens,
            long memoryTokens,
            double programsPerSecond,
            int gateways,
            long reportMillis,
            int dataCentres) {
        /** Creates a shape with six gateways in one data centre that report four times a second. */
        static Shape sixGateways(
                int engines,
                int slots,
                double readTokensPerMilli,
                double stepMillis,
                long commonTokens,
                long memoryTokens,
                double programsPerSecond) {
            return new Shape(
                    engines,
                    slots,
                    readTokensPerMilli,
                    stepMillis,
                    commonTokens,
                    memoryTokens,
                    programsPerSecond,
                    6,
                    250,
                    1);
        }
    }

    /**
     * Parts of load control in a simulation, and differences between the engines.
     *
     * @param slowness time per token of each engine, relative to the shape; repeated over all engines
     * @param options parts of load control that are on
     * @param arrivalMillis time in which programs arrive
     * @param phaseSlowness how many times as long an engine takes in a slow phase
     */
    record Conditions(List<Double> slowness, RoutingOptions options, long arrivalMillis, double phaseSlowness) {
        static final Conditions ALIKE = new Conditions(List.of(1.0), RoutingOptions.OFF, ARRIVAL_MILLIS);

        /** Conditions without slow phases. */
        Conditions(List<Double> slowness, RoutingOptions options, long arrivalMillis) {
            this(slowness, options, arrivalMillis, 1);
        }
    }

    /**
     * Result of a simulation.
     *
     * @param meanTurnMillis mean time from the arrival of a turn to its end
     * @param p95TurnMillis 95th percentile of that time, over the turns that arrived after the first quarter
     * @param busiest share of time in which an engine works, of the busiest engine relative to the mean
     * @param slowShare share of turns that ran on an engine slower than the fastest
     * @param remoteShare share of turns that ran in another data centre than that of their gateway
     * @param tokensRead tokens prefilled by all engines
     * @param queuedShare share of turns that waited for a slot while another engine had one free
     */
    record Result(
            double meanTurnMillis,
            long tokensRead,
            double queuedShare,
            double p95TurnMillis,
            double busiest,
            double slowShare,
            double remoteShare) {}

    private static final int COMMON_PARTS = 8;
    private static final int TURNS_PER_PROGRAM = 5;
    private static final int TICK_MILLIS = 5;
    private static final int PHASE_PERIOD_MILLIS = 4_000;
    private static final int PHASE_MILLIS = 600;
    private static final int TOKENS_PER_EVENT = 16;
    private static final int PACES_PER_REPORT = 16;
    private static final int ARRIVAL_MILLIS = 20_000;
    private static final double SLOWDOWN_PER_REQUEST = 0.02;
    private static final long TURN_TOKENS = 900;
    private static final long MAXIMUM_GENERATED = 300;

    private static final class Turn {
        int number;
        String conversation;
        PrefixPart common;
        long conversationTokens;
        long arrivedMillis;
        EndpointTable gateway;
        Selection selection;
        RunningStream stream;
        double unread;
        double remainingTokens;
        long generated;
        long sentMillis;
        long firstEventMillis = -1;

        List<PrefixPart> prompt() {
            PrefixPart own = new PrefixPart(conversation, conversationTokens);
            return common.tokens() == 0 ? List.of(own) : List.of(common, own);
        }
    }

    private static final class Engine {
        double slowness;
        long phaseOffset;
        double busyMillis;
        final PrefixCache memory = new PrefixCache();
        final ArrayDeque<Turn> waiting = new ArrayDeque<>();
        final List<Turn> running = new ArrayList<>();
    }

    private final Shape shape;
    private final Conditions conditions;
    private final Random random;
    private final List<Long> turnMillis = new ArrayList<>();
    private final long[] nextPaceMillis;
    private long slowTurns;
    private long remoteTurns;
    private final List<Engine> engines = new ArrayList<>();
    private final List<EndpointTable> gateways = new ArrayList<>();
    private final PriorityQueue<Turn> arrivals =
            new PriorityQueue<>((one, other) -> Long.compare(one.arrivedMillis, other.arrivedMillis));
    private double totalTurnMillis;
    private long turns;
    private double read;
    private long queued;

    private EngineSimulation(Shape shape, Conditions conditions, Policy policy, long seed) {
        this.shape = shape;
        this.conditions = conditions;
        this.nextPaceMillis = new long[shape.gateways()];
        this.random = new Random(seed);
        for (int number = 0; number < shape.engines(); number++) {
            Engine engine = new Engine();
            engine.slowness =
                    conditions.slowness().get(number % conditions.slowness().size());
            engine.phaseOffset = random.nextInt(PHASE_PERIOD_MILLIS);
            engines.add(engine);
        }
        for (int gateway = 0; gateway < shape.gateways(); gateway++) {
            EndpointTable table = EndpointTable.create(dataCentre(gateway), gateway, policy);
            for (int number = 0; number < shape.engines(); number++) {
                table.register(
                        0,
                        new Registration(
                                Integer.toString(number),
                                "llm",
                                "10.0.0.1:" + (number + 1),
                                dataCentre(number),
                                shape.slots(),
                                false,
                                0,
                                1));
            }
            gateways.add(table);
        }
    }

    private String dataCentre(int number) {
        return "data-centre-" + number % shape.dataCentres();
    }

    /** Simulates twenty seconds of arrivals until all turns have ended. */
    static Result simulate(Shape shape, Policy policy, long seed) {
        return simulate(shape, Conditions.ALIKE, policy, seed);
    }

    /** Simulates the time of arrivals until all turns have ended. */
    static Result simulate(Shape shape, Conditions conditions, Policy policy, long seed) {
        EngineSimulation simulation = new EngineSimulation(shape, conditions, policy, seed);
        simulation.scheduleArrivals();
        simulation.run();
        return simulation.result();
    }

    private Result result() {
        List<Long> sorted = turnMillis.stream().sorted().toList();
        double meanBusy = engines.stream()
                .mapToDouble(engine -> engine.busyMillis)
                .average()
                .orElseThrow();
        double mostBusy =
                engines.stream().mapToDouble(engine -> engine.busyMillis).max().orElseThrow();
        return new Result(
                totalTurnMillis / turns,
                Math.round(read),
                queued / (double) turns,
                sorted.get(sorted.size() * 95 / 100),
                mostBusy / meanBusy,
                slowTurns / (double) turns,
                remoteTurns / (double) turns);
    }

    private void scheduleArrivals() {
        double now = 0;
        for (int program = 0; now < conditions.arrivalMillis(); program++) {
            now += -Math.log(1 - random.nextDouble()) * 1_000 / shape.programsPerSecond();
            Turn first = new Turn();
            first.conversation = "line-" + program;
            first.common = new PrefixPart("common-" + random.nextInt(COMMON_PARTS), shape.commonTokens());
            first.conversationTokens = TURN_TOKENS;
            first.arrivedMillis = (long) now;
            arrivals.add(first);
        }
    }

    private void run() {
        for (long now = 0; now < 6 * conditions.arrivalMillis(); now += TICK_MILLIS) {
            while (!arrivals.isEmpty() && arrivals.peek().arrivedMillis <= now) {
                send(now, arrivals.poll());
            }
            for (Engine engine : engines) {
                tick(now, engine);
            }
            report(now);
            if (now % SlowPhases.SWEEP_MILLIS == 0) {
                for (EndpointTable gateway : gateways) {
                    gateway.slowPhases().sweep(now);
                }
            }
        }
    }

    private void send(long now, Turn turn) {
        int gateway = random.nextInt(shape.gateways());
        turn.gateway = gateways.get(gateway);
        RoutingRequest request = new RoutingRequest(
                "llm",
                Set.of(),
                turn.prompt(),
                shape.memoryTokens(),
                EndpointLimits.inFlight(Integer.MAX_VALUE),
                conditions.options());
        turn.selection = turn.gateway.select(now, request).orElseThrow();
        String id = turn.selection.registration().id();
        remoteTurns += turn.selection.registration().dataCentre().equals(dataCentre(gateway)) ? 0 : 1;
        turn.gateway.started(id);
        turn.gateway.recordPrompt(id, request, turn.selection.uncachedTokens());
        turn.sentMillis = now;
        turn.stream = turn.gateway.slowPhases().start(now, id, turn.selection.uncachedTokens(), TOKENS_PER_EVENT);
        turn.generated = 16L + random.nextInt((int) MAXIMUM_GENERATED);
        turn.remainingTokens = turn.generated;
        Engine engine = engines.get(Integer.parseInt(id));
        boolean full = engine.running.size() + engine.waiting.size() >= shape.slots();
        boolean othersFree =
                engines.stream().anyMatch(each -> each.running.size() + each.waiting.size() < shape.slots());
        queued += full && othersFree ? 1 : 0;
        engine.waiting.add(turn);
    }

    private void tick(long now, Engine engine) {
        while (engine.running.size() < shape.slots() && !engine.waiting.isEmpty()) {
            admit(engine, engine.waiting.poll());
        }
        engine.busyMillis += engine.running.isEmpty() ? 0 : TICK_MILLIS;
        double slowness = engine.slowness * phaseSlowness(now, engine);
        double readTokensPerMilli = shape.readTokensPerMilli() / slowness;
        double left = TICK_MILLIS;
        for (Turn turn : engine.running) {
            double tokens = Math.min(turn.unread, left * readTokensPerMilli);
            turn.unread -= tokens;
            left -= tokens / readTokensPerMilli;
        }
        double stepMillis = shape.stepMillis() * slowness;
        double tokens = left / (stepMillis * (1 + SLOWDOWN_PER_REQUEST * engine.running.size()));
        for (Iterator<Turn> each = engine.running.iterator(); each.hasNext(); ) {
            Turn turn = each.next();
            if (turn.unread <= 0 && generate(now, turn, tokens)) {
                each.remove();
                recordEnd(now, turn);
            }
        }
    }

    private double phaseSlowness(long now, Engine engine) {
        boolean slow = (now + engine.phaseOffset) % PHASE_PERIOD_MILLIS < PHASE_MILLIS;
        return slow ? conditions.phaseSlowness() : 1;
    }

    private void admit(Engine engine, Turn turn) {
        turn.unread = engine.memory.uncachedTokens(turn.prompt());
        read += turn.unread;
        turn.prompt().forEach(part -> engine.memory.add(part, shape.memoryTokens()));
        engine.running.add(turn);
    }

    private static boolean generate(long now, Turn turn, double tokens) {
        if (turn.firstEventMillis < 0) {
            turn.firstEventMillis = now;
            String id = turn.selection.registration().id();
            turn.gateway.recordPrefillDone(id, turn.selection.uncachedTokens());
            long tookMillis = now - turn.sentMillis + TICK_MILLIS;
            turn.gateway.onFirstEvent(id, turn.selection.uncachedTokens(), tookMillis);
            turn.gateway.speeds().recordFirstEvent(id, turn.selection.uncachedTokens(), 1, tookMillis);
        }
        long events = (long) (turn.generated - turn.remainingTokens) / TOKENS_PER_EVENT;
        turn.remainingTokens -= tokens;
        if ((long) (turn.generated - turn.remainingTokens) / TOKENS_PER_EVENT > events) {
            turn.gateway.slowPhases().onEvents(now, turn.stream);
        }
        return turn.remainingTokens <= 0;
    }

    private void recordEnd(long now, Turn turn) {
        String id = turn.selection.registration().id();
        turn.gateway.recordGeneration(id, turn.generated, now - turn.firstEventMillis);
        turn.gateway.speeds().recordGeneration(id, turn.generated, now - turn.firstEventMillis);
        turn.gateway.slowPhases().end(turn.stream);
        turn.gateway.finished(now, id, AttemptOutcome.ANSWERED, now - turn.sentMillis);
        totalTurnMillis += now - turn.arrivedMillis;
        turns++;
        if (turn.arrivedMillis > conditions.arrivalMillis() / 4) {
            turnMillis.add(now - turn.arrivedMillis);
        }
        double fastest = conditions.slowness().stream()
                .mapToDouble(Double::doubleValue)
                .min()
                .orElseThrow();
        slowTurns += engines.get(Integer.parseInt(id)).slowness > fastest ? 1 : 0;
        if (turn.number + 1 < TURNS_PER_PROGRAM) {
            Turn next = new Turn();
            next.number = turn.number + 1;
            next.conversation = turn.conversation;
            next.common = turn.common;
            next.conversationTokens = turn.conversationTokens + turn.generated + TURN_TOKENS;
            next.arrivedMillis = now + 20 + random.nextInt(200);
            arrivals.add(next);
        }
    }

    /** Spreads the reports of the gateways evenly over the interval. */
    private void report(long now) {
        for (int one = 0; one < shape.gateways(); one++) {
            long offset = one * shape.reportMillis() / shape.gateways();
            if ((now - offset) / shape.reportMillis() != (now - TICK_MILLIS - offset) / shape.reportMillis()) {
                report(now, one);
            }
        }
    }

    private Map<String, EndpointPaceReport> takePaces(long now, int one) {
        if (!conditions.options().isOn(Mechanism.SPEED_SAMPLING) || now < nextPaceMillis[one]) {
            return Map.of();
        }
        Map<String, EndpointPaceReport> paces = gateways.get(one).speeds().takeChanged(PACES_PER_REPORT);
        if (!paces.isEmpty()) {
            nextPaceMillis[one] = now + EndpointSpeeds.reportIntervalMillis(shape.gateways() - 1);
        }
        return paces;
    }

    private void report(long now, int one) {
        EndpointTable reporter = gateways.get(one);
        List<PrefixLocation> locations = reporter.takeNewLocations();
        Map<String, Integer> running = reporter.requestsInFlight();
        Map<String, Long> unread = reporter.prefillBacklog();
        Map<String, EndpointPaceReport> paces = takePaces(now, one);
        for (int other = 0; other < shape.gateways(); other++) {
            if (other != one) {
                gateways.get(other).onPeerPrefixLocations(locations);
                gateways.get(other).onPeerRunning("vm-" + one, running);
                gateways.get(other).onPeerPrefillBacklog("vm-" + one, unread);
                gateways.get(other).speeds().onPeerReports(now, "vm-" + one, paces);
            }
        }
    }
}
