package org.quetzalshunt.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Refused first turns that were given a time to return, in the order of their refusal. The tokens of their programs are
 * kept until a while after that time.
 */
final class PromisedStarts {
    /** Callers open a new connection to return, and round the time that they were given. */
    static final long GRACE_MILLIS = 200;

    static final int MAXIMUM_PROMISES = 512;

    private record Promise(double tokens, int urgency, long dueMillis) {}

    private final Map<String, Promise> promises = new LinkedHashMap<>();

    /** Removes the promises whose programs have not returned in time. */
    void expire(long nowMillis) {
        promises.values().removeIf(promise -> nowMillis > promise.dueMillis() + GRACE_MILLIS);
    }

    /** Gives a program a time to return. A program that returned too early keeps its place in the order. */
    void put(String program, double tokens, int urgency, long dueMillis) {
        if (promises.size() < MAXIMUM_PROMISES || promises.containsKey(program)) {
            promises.put(program, new Promise(tokens, urgency, dueMillis));
        }
    }

    void remove(String program) {
        promises.remove(program);
    }

    boolean contains(String program) {
        return promises.containsKey(program);
    }

    /**
     * Tokens kept for the programs that go first: those that are more urgent, and those of the same urgency that were
     * refused before.
     */
    double tokensBefore(String program, int urgency) {
        double tokens = 0;
        boolean before = true;
        for (Map.Entry<String, Promise> entry : promises.entrySet()) {
            before = before && !entry.getKey().equals(program);
            int other = entry.getValue().urgency();
            if (other < urgency || (other == urgency && before)) {
                tokens += entry.getValue().tokens();
            }
        }
        return tokens;
    }

    int size() {
        return promises.size();
    }
}
