package org.quetzalshunt.server.gateway;

import java.util.HashMap;
import java.util.Map;

/** When each peer last reached the shared store, as it reported over its link. */
final class StoreContacts {
    /** Contacts are renewed every second or two; one that is older was missed. */
    private static final long RECENT_MILLIS = 2_600;

    private record Contact(String dataCentre, long atMillis) {}

    private final NodeClock clock;
    private final Map<String, Contact> contacts = new HashMap<>();

    StoreContacts(NodeClock clock) {
        this.clock = clock;
    }

    /** A peer reported how long ago it reached the store. */
    void reported(String vm, String dataCentre, long ageMillis) {
        if (ageMillis < RECENT_MILLIS) {
            contacts.put(vm, new Contact(dataCentre, clock.now() - ageMillis));
        } else {
            contacts.remove(vm);
        }
    }

    /** A peer is gone. */
    void removed(String vm) {
        contacts.remove(vm);
    }

    /** Whether some peer reached the store lately, and after a moment on this VM's clock. */
    boolean anySince(long sinceMillis) {
        long recent = Math.max(sinceMillis, clock.now() - RECENT_MILLIS);
        return contacts.values().stream().anyMatch(contact -> contact.atMillis() >= recent);
    }

    /** Whether some peer reached the store lately. */
    boolean any() {
        return anySince(Long.MIN_VALUE);
    }

    /** Whether some peer of a data centre reached the store lately. */
    boolean anyIn(String dataCentre) {
        long recent = clock.now() - RECENT_MILLIS;
        return contacts.values().stream()
                .anyMatch(contact -> contact.dataCentre().equals(dataCentre) && contact.atMillis() >= recent);
    }
}
