package org.quetzalshunt.server.http;

import org.agrona.collections.IntHashSet;

/**
 * The ids of all requests that a connection has carried. An id names a request and not one of its sends, and a faulty
 * server may repeat a response at any later time. So a response can be matched to a send only by its connection together
 * with its id, which requires that no id is sent on a connection twice.
 *
 * <p>Ids are kept by their hash code: two ids with the same one cost a connection, and are never mixed up.
 */
final class CarriedRequests {
    /** Bounds the memory of a connection, and what a new connection in place of a full one costs for each request. */
    static final int MAXIMUM = 512;

    private static final int INITIAL_CAPACITY = 8;

    private final IntHashSet hashes = new IntHashSet(INITIAL_CAPACITY);
    private int count;

    void add(String id) {
        count++;
        hashes.add(id.hashCode());
    }

    boolean contains(String id) {
        return hashes.contains(id.hashCode());
    }

    /** Whether the connection takes no more requests. */
    boolean isFull() {
        return count >= MAXIMUM;
    }
}
