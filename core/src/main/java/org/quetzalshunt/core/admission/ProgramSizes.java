package org.quetzalshunt.core.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Learns the mean number of tokens that a program of each kind takes at this owner. A program counts once, after it has
 * sent nothing for a while, and with a bounded number of tokens.
 *
 * <p>Load pattern: programs that loop and send many times as many requests as others of their kind. Unbounded, one of
 * them would raise the mean so far that no program of the kind could start.
 */
final class ProgramSizes {
    /** Tokens that a program is expected to take before any program of its kind has ended. */
    static final double ASSUMED_TOKENS = 8;

    /** A program is forgotten after this time without a request. */
    static final long FORGET_MILLIS = 15_000;

    /** A turn has its last event or fails within three seconds, so a program that is idle for longer has ended. */
    static final long ENDED_MILLIS = 3_000;

    /** Bounds the memory of running programs, and of ended ones. */
    static final int MAXIMUM_PROGRAMS = 2_048;

    /** Routes are few; kinds beyond this number count as one. */
    static final int MAXIMUM_KINDS = 32;

    /** A program counts for at most this many times the mean of its kind. */
    static final double MAXIMUM_MEANS = 4;

    private static final String OTHER_KINDS = "other";

    /** Smallest weight of a program in the mean, so that the mean follows a change within some dozens of programs. */
    private static final double MINIMUM_WEIGHT = 1 / 32.0;

    private static final class Program {
        /** Empty if the program started at another owner, or before this one had its share. */
        final Optional<Kind> kind;

        /** Tokens that the program took from the start bucket at its start. */
        final double charge;

        int requests;
        long lastMillis;

        Program(Optional<Kind> kind, double charge) {
            this.kind = kind;
            this.charge = charge;
        }
    }

    private static final class Kind {
        double mean = ASSUMED_TOKENS;
        /** Number of programs in the mean; the assumption counts as one. */
        long programs = 1;

        void add(double tokens) {
            programs++;
            mean += Math.max(MINIMUM_WEIGHT, 1.0 / programs) * (Math.min(tokens, MAXIMUM_MEANS * mean) - mean);
        }
    }

    /** Programs that sent a request recently, and those that count as ended, each in the order of the last request. */
    private final Map<String, Program> running = new LinkedHashMap<>();

    private final Map<String, Program> ended = new LinkedHashMap<>();
    private final Map<String, Kind> kinds = new TreeMap<>();

    /** Counts programs that have ended, and forgets those that ended long ago. */
    void expire(long nowMillis) {
        Iterator<Map.Entry<String, Program>> eldest = running.entrySet().iterator();
        while (eldest.hasNext()) {
            Map.Entry<String, Program> entry = eldest.next();
            Program program = entry.getValue();
            if (nowMillis - program.lastMillis < ENDED_MILLIS && running.size() <= MAXIMUM_PROGRAMS) {
                break;
            }
            eldest.remove();
            program.kind.ifPresent(kind -> kind.add(program.requests));
            ended.put(entry.getKey(), program);
        }
        Iterator<Program> forgotten = ended.values().iterator();
        while (forgotten.hasNext()) {
            if (nowMillis - forgotten.next().lastMillis < FORGET_MILLIS && ended.size() <= MAXIMUM_PROGRAMS) {
                break;
            }
            forgotten.remove();
        }
    }

    private String bounded(String kind) {
        return kinds.containsKey(kind) || kinds.size() < MAXIMUM_KINDS ? kind : OTHER_KINDS;
    }

    /** Tokens that a program of a kind is expected to take. */
    double mean(String kind) {
        Kind known = kinds.get(bounded(kind));
        return known == null ? ASSUMED_TOKENS : known.mean;
    }

    /** Whether the program took a token from this owner and is not forgotten, so that it does not start now. */
    boolean isKnown(String program) {
        return running.containsKey(program) || ended.containsKey(program);
    }

    /** Records a program that was started with a charge, and its first request. */
    void start(long nowMillis, String name, String kind, double charge) {
        Kind known = kinds.computeIfAbsent(bounded(kind), ignored -> new Kind());
        Program program = new Program(Optional.of(known), charge);
        running.put(name, program);
        count(nowMillis, name);
    }

    /**
     * Counts a request of a program.
     *
     * @return whether its token was part of what the program took from the start bucket. Requests of programs that
     *     started elsewhere, or that take many times the mean, are not.
     */
    boolean count(long nowMillis, String name) {
        boolean isEnded = ended.containsKey(name);
        Map<String, Program> programs = isEnded ? ended : running;
        Program program = programs.remove(name);
        if (program == null) {
            program = new Program(Optional.empty(), 0);
        }
        programs.put(name, program);
        program.lastMillis = nowMillis;
        program.requests++;
        return !isEnded && program.requests <= MAXIMUM_MEANS * program.charge;
    }

    /**
     * Forgets a program whose last request does not run. Returns the tokens of its charge that no other request took,
     * or 0 if it is not known.
     */
    double cancel(String name) {
        Program program = running.remove(name);
        return program == null ? 0 : Math.max(0, program.charge - (program.requests - 1));
    }

    /** Number of programs in the mean of a kind. */
    long countedPrograms(String kind) {
        Kind known = kinds.get(kind);
        return known == null ? 0 : known.programs;
    }

    /** Mean number of tokens by kind. */
    Map<String, Double> means() {
        Map<String, Double> means = new TreeMap<>();
        kinds.forEach((name, kind) -> means.put(name, kind.mean));
        return means;
    }

    int runningPrograms() {
        return running.size();
    }
}
