package org.quetzalshunt.core.document;

import java.util.List;

/**
 * A client account of one service.
 *
 * @param name name, the tenant whose key callers show
 * @param keyHashes lower-case hex SHA-256 of each key now in force; several during a rotation
 * @param requestsPerSecond rate over the whole fleet
 * @param burst requests that may come at once after a rest, over the whole fleet
 * @param weight share under contention
 */
public record ClientAccount(
        String name, List<String> keyHashes, double requestsPerSecond, double burst, double weight) {}
