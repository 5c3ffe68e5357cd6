package org.quetzalshunt.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
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
     * Result of a simulation.
     *
     * @param meanTurnMillis mean time from the arrival of a turn to its end
     * @param tokensRead tokens prefilled by all engines
     * @param queuedShare share of turns that waited for a slot while another engine had one free
     */
    record Result(double meanTurnMillis, long tokensRead, double queuedShare) {}

    private static final int COMMON_PARTS = 8;
    private static final int TURNS_PER_PROGRAM = 5;
    private static final int TICK_MILLIS = 5;
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
        final PrefixCache memory = new PrefixCache();
        final ArrayDeque<Turn> waiting = new ArrayDeque<>();
        final List<Turn> running = new ArrayList<>();
    }

    private final Shape shape;
    private final Random random;
    private final List<Engine> engines = new ArrayList<>();
    private final List<EndpointTable> gateways = new ArrayList<>();
    private final PriorityQueue<Turn> arrivals =
            new PriorityQueue<>((one, other) -> Long.compare(one.arrivedMillis, other.arrivedMillis));
    private double totalTurnMillis;
    private long turns;
    private double read;
    private long queued;

    private EngineSimulation(Shape shape, Policy policy, long seed) {
        this.shape = shape;
        this.random = new Random(seed);
        for (int number = 0; number < shape.engines(); number++) {
            engines.add(new Engine());
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
        EngineSimulation simulation = new EngineSimulation(shape, policy, seed);
        simulation.scheduleArrivals();
        simulation.run();
        return new Result(
                simulation.totalTurnMillis / simulation.turns,
                Math.round(simulation.read),
                simulation.queued / (double) simulation.turns);
    }

    private void scheduleArrivals() {
        double now = 0;
        for (int program = 0; now < ARRIVAL_MILLIS; program++) {
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
        for (long now = 0; now < 6 * ARRIVAL_MILLIS; now += TICK_MILLIS) {
            while (!arrivals.isEmpty() && arrivals.peek().arrivedMillis <= now) {
                send(now, arrivals.poll());
            }
            for (Engine engine : engines) {
                tick(now, engine);
            }
            report(now);
        }
    }

    private void send(long now, Turn turn) {
        turn.gateway = gateways.get(random.nextInt(shape.gateways()));
        RoutingRequest request = new RoutingRequest(
                "llm", Set.of(), turn.prompt(), shape.memoryTokens(), EndpointLimits.inFlight(Integer.MAX_VALUE));
        turn.selection = turn.gateway.select(now, request).orElseThrow();
        String id = turn.selection.registration().id();
        turn.gateway.started(id);
        turn.gateway.recordPrompt(id, request, turn.selection.uncachedTokens());
        turn.sentMillis = now;
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
        double left = TICK_MILLIS;
        for (Turn turn : engine.running) {
            double tokens = Math.min(turn.unread, left * shape.readTokensPerMilli());
            turn.unread -= tokens;
            left -= tokens / shape.readTokensPerMilli();
        }
        double tokens = left / (shape.stepMillis() * (1 + SLOWDOWN_PER_REQUEST * engine.running.size()));
        for (Iterator<Turn> each = engine.running.iterator(); each.hasNext(); ) {
            Turn turn = each.next();
            if (turn.unread <= 0 && generate(now, turn, tokens)) {
                each.remove();
                recordEnd(now, turn);
            }
        }
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
            turn.gateway.onFirstEvent(id, turn.selection.uncachedTokens(), now - turn.sentMillis + TICK_MILLIS);
        }
        turn.remainingTokens -= tokens;
        return turn.remainingTokens <= 0;
    }

    private void recordEnd(long now, Turn turn) {
        String id = turn.selection.registration().id();
        turn.gateway.recordGeneration(id, turn.generated, now - turn.firstEventMillis);
        turn.gateway.finished(now, id, AttemptOutcome.ANSWERED, now - turn.sentMillis);
        totalTurnMillis += now - turn.arrivedMillis;
        turns++;
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
                report(one);
            }
        }
    }

    private void report(int one) {
        EndpointTable reporter = gateways.get(one);
        List<PrefixLocation> locations = reporter.takeNewLocations();
        Map<String, Integer> running = reporter.requestsInFlight();
        Map<String, Long> unread = reporter.prefillBacklog();
        for (int other = 0; other < shape.gateways(); other++) {
            if (other != one) {
                gateways.get(other).onPeerPrefixLocations(locations);
                gateways.get(other).onPeerRunning("vm-" + one, running);
                gateways.get(other).onPeerPrefillBacklog("vm-" + one, unread);
            }
        }
    }
}
