package org.quetzalshunt.core.routing;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Prefix locations that were not reported to peers yet, and the prompt parts that more than one program has used. Only
 * those parts are worth a report to another data centre, since the turns of one program stay in its own.
 */
final class NewLocations {
    /** Maximum number of prefix locations in one report to peers; the newest are kept. */
    private static final int MAXIMUM_NEW_LOCATIONS = 512;

    /** Parts whose programs are remembered; the ones that were used longest ago are forgotten. */
    private static final int MAXIMUM_PARTS = 4_096;

    /** In place of the program of a part that several programs have used. */
    private static final String SEVERAL = "*";

    private final ArrayDeque<PrefixLocation> pending = new ArrayDeque<>();
    private final Map<String, String> programs = new LinkedHashMap<>(16, 0.75f, true);

    /** Records that a part of a prompt is sent to an endpoint, before it is added to the endpoint's prefix cache. */
    void record(EndpointRow row, PrefixPart part, String program) {
        // A part that becomes shared is reported again, since other data centres have not got the first report.
        boolean becomesShared = !program.isEmpty() && recordProgram(part.id(), program);
        if (becomesShared || !row.prefixCache.contains(part)) {
            pending.addLast(new PrefixLocation(row.registration.id(), part));
        }
        if (pending.size() > MAXIMUM_NEW_LOCATIONS) {
            pending.removeFirst();
        }
    }

    /** Returns whether the part was used by one other program only until now. */
    private boolean recordProgram(String part, String program) {
        String previous = programs.putIfAbsent(part, program);
        if (programs.size() > MAXIMUM_PARTS) {
            programs.remove(programs.keySet().iterator().next());
        }
        if (previous == null || previous.equals(SEVERAL) || previous.equals(program)) {
            return false;
        }
        programs.put(part, SEVERAL);
        return true;
    }

    /** Whether more than one program has used a part here. */
    boolean isShared(String part) {
        return SEVERAL.equals(programs.get(part));
    }

    List<PrefixLocation> take() {
        List<PrefixLocation> locations = List.copyOf(pending);
        pending.clear();
        return locations;
    }
}
