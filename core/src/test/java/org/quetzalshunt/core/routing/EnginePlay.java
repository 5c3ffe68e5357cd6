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
 * A few gateways before a few engines in virtual time: programs whose turns arrive through any gateway and go on from a
 * growing prompt, engines that read and generate in one batch, and word between gateways that comes late.
 */
final class EnginePlay {
    /**
     * What engines and traffic are like.
     *
     * @param engines how many
     * @param slots requests that one generates for at once
     * @param readTokensPerMilli speed of reading; everything else of the engine stands still meanwhile
     * @param stepMillis time of a token for a batch of one; each request more adds a fiftieth
     * @param commonTokens size of the part that programs share, of which there are eight
     * @param memoryTokens what one engine holds
     * @param programsPerSecond arrivals
     * @param gateways how many
     * @param reportMillis how often each gateway reports its loads to the others
     * @param dataCentres over which gateways and engines are spread
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
        /** Six gateways that report four times a second. */
        static Shape few(
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
     * What came of a play.
     *
     * @param meanTurnMillis from a turn's arrival to its end
     * @param tokensRead by all engines
     * @param queuedShare share of turns that waited for a slot while another engine had one free
     */
    record Result(double meanTurnMillis, long tokensRead, double queuedShare) {}

    private static final int COMMON_PARTS = 8;
    private static final int TURNS = 5;
    private static final int TICK_MILLIS = 5;
    private static final int LENGTH_MILLIS = 20_000;
    private static final double CROWDING = 0.02;
    private static final long TURN_TOKENS = 900;
    private static final long MOST_GENERATED = 300;

    private static final class Turn {
        int number;
        String line;
        PrefixPart common;
        long lineTokens;
        long arrivedMillis;
        EndpointTable gateway;
        Selection choice;
        double unread;
        double toGenerate;
        long generated;
        long sentMillis;
        long firstMillis = -1;

        List<PrefixPart> prompt() {
            PrefixPart own = new PrefixPart(line, lineTokens);
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
    private double millisInAll;
    private long turns;
    private double read;
    private long queued;

    private EnginePlay(Shape shape, Policy policy, long seed) {
        this.shape = shape;
        this.random = new Random(seed);
        for (int number = 0; number < shape.engines(); number++) {
            engines.add(new Engine());
        }
        for (int gateway = 0; gateway < shape.gateways(); gateway++) {
            EndpointTable table = EndpointTable.create(dataCentre(gateway), gateway, policy);
            for (int number = 0; number < shape.engines(); number++) {
                table.registered(
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

    /** Plays twenty seconds of arrivals to their end. */
    static Result play(Shape shape, Policy policy, long seed) {
        EnginePlay play = new EnginePlay(shape, policy, seed);
        play.arrive();
        play.run();
        return new Result(play.millisInAll / play.turns, Math.round(play.read), play.queued / (double) play.turns);
    }

    private void arrive() {
        double now = 0;
        for (int program = 0; now < LENGTH_MILLIS; program++) {
            now += -Math.log(1 - random.nextDouble()) * 1_000 / shape.programsPerSecond();
            Turn first = new Turn();
            first.line = "line-" + program;
            first.common = new PrefixPart("common-" + random.nextInt(COMMON_PARTS), shape.commonTokens());
            first.lineTokens = TURN_TOKENS;
            first.arrivedMillis = (long) now;
            arrivals.add(first);
        }
    }

    private void run() {
        for (long now = 0; now < 6 * LENGTH_MILLIS; now += TICK_MILLIS) {
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
        turn.choice = turn.gateway.select(now, request).orElseThrow();
        String id = turn.choice.registration().id();
        turn.gateway.started(id);
        turn.gateway.prompted(id, request, turn.choice.uncachedTokens());
        turn.sentMillis = now;
        turn.generated = 16L + random.nextInt((int) MOST_GENERATED);
        turn.toGenerate = turn.generated;
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
        double tokens = left / (shape.stepMillis() * (1 + CROWDING * engine.running.size()));
        for (Iterator<Turn> each = engine.running.iterator(); each.hasNext(); ) {
            Turn turn = each.next();
            if (turn.unread <= 0 && generate(now, turn, tokens)) {
                each.remove();
                ended(now, turn);
            }
        }
    }

    private void admit(Engine engine, Turn turn) {
        turn.unread = engine.memory.uncachedTokens(turn.prompt());
        read += turn.unread;
        turn.prompt().forEach(part -> engine.memory.hold(part, shape.memoryTokens()));
        engine.running.add(turn);
    }

    private static boolean generate(long now, Turn turn, double tokens) {
        if (turn.firstMillis < 0) {
            turn.firstMillis = now;
            String id = turn.choice.registration().id();
            turn.gateway.prefillDone(id, turn.choice.uncachedTokens());
            turn.gateway.onFirstEvent(id, turn.choice.uncachedTokens(), now - turn.sentMillis + TICK_MILLIS);
        }
        turn.toGenerate -= tokens;
        return turn.toGenerate <= 0;
    }

    private void ended(long now, Turn turn) {
        String id = turn.choice.registration().id();
        turn.gateway.generated(id, turn.generated, now - turn.firstMillis);
        turn.gateway.finished(now, id, AttemptOutcome.ANSWERED, now - turn.sentMillis);
        millisInAll += now - turn.arrivedMillis;
        turns++;
        if (turn.number + 1 < TURNS) {
            Turn next = new Turn();
            next.number = turn.number + 1;
            next.line = turn.line;
            next.common = turn.common;
            next.lineTokens = turn.lineTokens + turn.generated + TURN_TOKENS;
            next.arrivedMillis = now + 20 + random.nextInt(200);
            arrivals.add(next);
        }
    }

    /** Gateways report one after the other, each once in the interval. */
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
        Map<String, Integer> running = reporter.running();
        Map<String, Long> unread = reporter.unread();
        for (int other = 0; other < shape.gateways(); other++) {
            if (other != one) {
                gateways.get(other).onPeerPrefixes(locations);
                gateways.get(other).onPeerRunning("vm-" + one, running);
                gateways.get(other).onPeerPrefillBacklog("vm-" + one, unread);
            }
        }
    }
}
