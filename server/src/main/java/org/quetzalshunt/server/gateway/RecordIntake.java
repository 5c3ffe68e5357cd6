package org.quetzalshunt.server.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.quetzalshunt.core.store.MapEntry;
import org.tinylog.Logger;

/**
 * Applies the records that a follower reads, one by one, and logs those that cannot be used: one line for each key and
 * reason, however often the record is read.
 *
 * <p>Guards against a record of another writer that ends the reading of all others: an exception while it is applied
 * would leave the follower without its next read.
 */
final class RecordIntake {
    /** Keys whose refusals are remembered; further ones are not logged until some of these are gone. */
    private static final int MAXIMUM_KEYS = 200;

    private static final int MAXIMUM_LOGGED_CHARACTERS = 100;

    private final DecisionLog log;
    private final String records;
    private final Map<String, String> reasons = new HashMap<>();
    private boolean reportedFull;
    private boolean reportedFault;

    /**
     * @param records kind of the records, for the log
     */
    RecordIntake(DecisionLog log, String records) {
        this.log = log;
        this.records = records;
    }

    /** Applies a record; an exception counts as its refusal. The stack trace of the first one is logged. */
    void apply(MapEntry entry, Consumer<MapEntry> action) {
        try {
            action.accept(entry);
        } catch (RuntimeException | StackOverflowError fault) {
            refuse(entry.key(), "fault: " + fault.getClass().getSimpleName());
            if (!reportedFault) {
                reportedFault = true;
                Logger.error(fault, "a record of the store could not be applied");
            }
        }
    }

    /** Records that a key has no record, or one that can be used. */
    void accept(String key) {
        reasons.remove(key);
    }

    /** Forgets the keys that the store no longer has. */
    void retain(Set<String> keys) {
        reasons.keySet().retainAll(keys);
    }

    /** Logs that a record cannot be used, unless that is known. */
    void refuse(String key, String reason) {
        if (reason.equals(reasons.get(key))) {
            return;
        }
        if (reasons.size() >= MAXIMUM_KEYS && !reasons.containsKey(key)) {
            reportFull();
            return;
        }
        reasons.put(key, reason);
        log.write(log.event("record-refused")
                .put("records", records)
                .put("key", shortened(key))
                .put("reason", shortened(reason)));
    }

    private void reportFull() {
        if (!reportedFull) {
            reportedFull = true;
            log.write(log.event("record-refused")
                    .put("records", records)
                    .put(
                            "reason",
                            "more than " + MAXIMUM_KEYS + " records cannot be used; further ones are not logged"));
        }
    }

    private static String shortened(String text) {
        return text.length() <= MAXIMUM_LOGGED_CHARACTERS ? text : text.substring(0, MAXIMUM_LOGGED_CHARACTERS) + "...";
    }
}
