package org.quetzalshunt.server.gateway;

import java.util.HashMap;
import java.util.Map;

/** The last time at which each peer reached the store, as reported over its link. */
final class StoreContacts {
    /**
     * Maximum age of a contact that counts as recent. A peer renews its contact every one or two seconds, so an older
     * one shows that it missed a renewal.
     */
    private static final long MAXIMUM_AGE_MILLIS = 2_600;

    private record Contact(String dataCentre, long atMillis) {}

    private final NodeClock clock;
    private final Map<String, Contact> contacts = new HashMap<>();

    StoreContacts(NodeClock clock) {
        this.clock = clock;
    }

    /** Records how long ago a peer reached the store. */
    void onReport(String vm, String dataCentre, long ageMillis) {
        if (ageMillis < MAXIMUM_AGE_MILLIS) {
            contacts.put(vm, new Contact(dataCentre, clock.now() - ageMillis));
        } else {
            contacts.remove(vm);
        }
    }

    /** Discards the contact of a peer that has no open link. */
    void removePeer(String vm) {
        contacts.remove(vm);
    }

    /** Whether some peer reached the store recently and after a given time on this VM's clock. */
    boolean anyRecentSince(long sinceMillis) {
        long earliestMillis = Math.max(sinceMillis, clock.now() - MAXIMUM_AGE_MILLIS);
        return contacts.values().stream().anyMatch(contact -> contact.atMillis() >= earliestMillis);
    }

    /** Whether some peer reached the store recently. */
    boolean anyRecent() {
        return anyRecentSince(Long.MIN_VALUE);
    }

    /** Whether some peer in a data centre reached the store recently. */
    boolean anyRecentIn(String dataCentre) {
        long earliestMillis = clock.now() - MAXIMUM_AGE_MILLIS;
        return contacts.values().stream()
                .anyMatch(contact -> contact.dataCentre().equals(dataCentre) && contact.atMillis() >= earliestMillis);
    }
}
