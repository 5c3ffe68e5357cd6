package org.quetzalshunt.core.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.core.program.Digests;

/**
 * Identifies crashes of endpoints, so that one crash has the same id at every VM and for every request that was running.
 * A crash belongs to a run of the endpoint's process, which is known by the endpoint's id and the time of its start. A new
 * start may be registered late: a request that was sent after a crash was known here proves that the process ran again, so
 * that its crash is the next one.
 */
public final class EndpointCrashes {
    /** Time after which a crash is forgotten; longer than the start time of a reborn endpoint stays unregistered. */
    private static final long RETENTION_MILLIS = 600_000;

    private static final int DIGEST_BYTES = 8;
    private static final char SEPARATOR = '.';

    /** Times at which the crashes under one registration were first known here, in their order. */
    private final Map<String, List<Long>> knownMillis = new HashMap<>();

    private EndpointCrashes() {}

    /** Creates an instance that knows no crash. */
    public static EndpointCrashes create() {
        return new EndpointCrashes();
    }

    /**
     * Id of a crash that was detected now.
     *
     * @param startedMillis start of the endpoint's process as registered
     * @param sentMillis when the request that was running was sent, on the clock of {@code nowMillis}
     */
    public String identify(long nowMillis, String endpointId, long startedMillis, long sentMillis) {
        removeOld(nowMillis);
        String registration = digest(endpointId) + SEPARATOR + Long.toString(startedMillis, Character.MAX_RADIX);
        List<Long> known = knownMillis.computeIfAbsent(registration, ignored -> new ArrayList<>());
        int earlier = (int) known.stream().filter(time -> time < sentMillis).count();
        if (earlier == known.size()) {
            known.add(nowMillis);
        }
        return registration + SEPARATOR + earlier;
    }

    /**
     * Records the id of a crash that another VM detected; ids of other forms, or with a number that no endpoint reaches
     * within the retention time, are ignored.
     */
    public void onReport(long nowMillis, String crash) {
        int separator = crash.lastIndexOf(SEPARATOR);
        Optional<Integer> earlier = separator < 0 ? Optional.empty() : number(crash.substring(separator + 1));
        if (earlier.isEmpty()) {
            return;
        }
        List<Long> known = knownMillis.computeIfAbsent(crash.substring(0, separator), ignored -> new ArrayList<>());
        // Reports may be read in any order after a start.
        while (known.size() <= earlier.get()) {
            known.add(nowMillis);
        }
    }

    /** Number of crashes that are known. */
    int size() {
        return knownMillis.values().stream().mapToInt(List::size).sum();
    }

    private void removeOld(long nowMillis) {
        knownMillis.values().removeIf(known -> known.get(known.size() - 1) < nowMillis - RETENTION_MILLIS);
    }

    private static Optional<Integer> number(String text) {
        return text.matches("[0-9]{1,3}") ? Optional.of(Integer.valueOf(text)) : Optional.empty();
    }

    private static String digest(String endpointId) {
        byte[] digest = Digests.sha256(endpointId.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
    }
}
