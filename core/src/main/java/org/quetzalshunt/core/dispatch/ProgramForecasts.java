package org.quetzalshunt.core.dispatch;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Learns by route and by service what programs need: turns, time of a turn, pauses between turns, time objective.
 *
 * <p>Load pattern: programs of short and of long kinds share the engines, and the turns of one program reach different
 * gateways. Each gateway therefore learns from the turns that pass through it: the ratio of all turns to first turns
 * gives the turns per program without knowledge of any single program.
 */
public final class ProgramForecasts {
    /** Conversations whose last turn is remembered to measure the pause after it; the oldest are forgotten. */
    private static final int MAXIMUM_CONVERSATIONS = 2_048;

    /** Services, or routes, that are forecast; the configuration of a deployment names fewer. */
    private static final int MAXIMUM_NAMES = 64;

    /** A longer gap is not a pause between turns: the program ended, or its caller was away. */
    private static final long MAXIMUM_PAUSE_MILLIS = 2_000;

    /** Callers state program times of some seconds; more than ten minutes is absurd. */
    private static final long MAXIMUM_PROGRAM_MILLIS = 600_000;

    private static final long MAXIMUM_TURN_MILLIS = 60_000;
    private static final long MAXIMUM_HINT_TOKENS = 1_000_000;

    /** A length estimate changes the expected time of a turn by at most this factor, since it is often far off. */
    private static final double MAXIMUM_HINT_FACTOR = 2;

    private final Map<String, LearntForecast> routes = new HashMap<>();
    private final Map<String, LearntForecast> services = new HashMap<>();
    private final Map<String, Long> endedMillis = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAXIMUM_CONVERSATIONS;
        }
    };
    private long rejectedValues;

    ProgramForecasts() {}

    /**
     * Records the arrival of a turn.
     *
     * @param conversation the conversation that it belongs to, if its caller names one
     */
    public void onTurn(
            long nowMillis, String service, String route, boolean beginsProgram, Optional<String> conversation) {
        learnt(routes, route).countTurn(beginsProgram);
        learnt(services, service).countTurn(beginsProgram);
        Long ended = conversation.map(endedMillis::remove).orElse(null);
        if (ended == null || nowMillis < ended || nowMillis - ended > MAXIMUM_PAUSE_MILLIS) {
            return;
        }
        learnt(routes, route).recordPause(nowMillis - ended);
        learnt(services, service).recordPause(nowMillis - ended);
    }

    /** Records the end of a turn that an endpoint answered completely. */
    public void onTurnEnded(
            long nowMillis, String service, String route, Optional<String> conversation, long tookMillis) {
        long bounded = Math.max(1, Math.min(MAXIMUM_TURN_MILLIS, tookMillis));
        learnt(routes, route).recordTurn(bounded);
        learnt(services, service).recordTurn(bounded);
        conversation.ifPresent(name -> endedMillis.put(name, nowMillis));
    }

    /** Records what the caller of a first turn states; must follow the decision about it. */
    void recordStatements(ProgramStart start) {
        LearntForecast route = learnt(routes, start.route());
        programLeft(start.programLeftMillis()).ifPresent(route::recordObjective);
        hint(start.lengthHint()).ifPresent(route::recordHint);
    }

    /** Forecast of a route's programs. */
    public ProgramForecast route(String name) {
        return learnt(routes, name).forecast();
    }

    /** Forecast of the programs of all routes of a service. */
    ProgramForecast service(String name) {
        return learnt(services, name).forecast();
    }

    /** Forecasts of all routes. */
    public Map<String, ProgramForecast> byRoute() {
        Map<String, ProgramForecast> all = new HashMap<>();
        routes.forEach((name, learnt) -> all.put(name, learnt.forecast()));
        return all;
    }

    /** Number of program times and length estimates that were ignored because they were absurd. */
    public long rejectedValues() {
        return rejectedValues;
    }

    /** Whether a first turn was probably refused before. */
    boolean isReturned(ProgramStart start) {
        OptionalLong left = usable(start.programLeftMillis(), MAXIMUM_PROGRAM_MILLIS);
        return left.isPresent() && learnt(routes, start.route()).isReturned(left.getAsLong());
    }

    /** When the program of a first turn should be finished; the usual time of its route if its caller states none. */
    double dueMillis(ProgramStart start) {
        double usual = Math.max(
                (double) start.targetLatencyMillis(), route(start.route()).objectiveMillis());
        OptionalLong left = usable(start.programLeftMillis(), MAXIMUM_PROGRAM_MILLIS);
        return start.arrivedMillis() + (left.isPresent() ? left.getAsLong() : usual);
    }

    /** Time that the program of a first turn needs if it never waits. */
    double neededMillis(ProgramStart start) {
        ProgramForecast forecast = route(start.route());
        return forecast.programMillis() + forecast.turnMillis() * (hintFactor(start.route(), start.lengthHint()) - 1);
    }

    private double hintFactor(String route, OptionalLong lengthHint) {
        OptionalLong tokens = usable(lengthHint, MAXIMUM_HINT_TOKENS);
        double usual = learnt(routes, route).hintTokens();
        if (tokens.isEmpty() || usual == 0) {
            return 1;
        }
        return Math.max(1 / MAXIMUM_HINT_FACTOR, Math.min(MAXIMUM_HINT_FACTOR, tokens.getAsLong() / usual));
    }

    private OptionalLong programLeft(OptionalLong stated) {
        return counted(stated, usable(stated, MAXIMUM_PROGRAM_MILLIS));
    }

    private OptionalLong hint(OptionalLong stated) {
        return counted(stated, usable(stated, MAXIMUM_HINT_TOKENS));
    }

    private OptionalLong counted(OptionalLong stated, OptionalLong usable) {
        rejectedValues += stated.isPresent() && usable.isEmpty() ? 1 : 0;
        return usable;
    }

    private static OptionalLong usable(OptionalLong stated, long maximum) {
        boolean absurd = stated.isPresent() && (stated.getAsLong() <= 0 || stated.getAsLong() > maximum);
        return absurd ? OptionalLong.empty() : stated;
    }

    private static LearntForecast learnt(Map<String, LearntForecast> table, String name) {
        if (table.size() >= MAXIMUM_NAMES && !table.containsKey(name)) {
            return new LearntForecast();
        }
        return table.computeIfAbsent(name, ignored -> new LearntForecast());
    }
}
