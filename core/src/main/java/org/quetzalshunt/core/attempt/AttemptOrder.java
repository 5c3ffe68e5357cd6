package org.quetzalshunt.core.attempt;

import java.util.Map;

/**
 * Order of a shard's owner to run one attempt of a request. The id makes it idempotent.
 *
 * @param attempt id, unique over all owners and their incarnations
 * @param shard shard of the program
 * @param epoch the owner's epoch in that shard
 * @param program program, which also names the cache entry at an engine; empty for a call outside programs
 * @param method HTTP method
 * @param path path with its query
 * @param headers headers for the endpoint; those outside {@link EndpointHeaders} are left out
 * @param body body as it goes to the endpoint
 * @param priority 0 is the most urgent
 * @param remainingMillis time left to the request's deadline
 * @param stallMillis time without progress after which the attempt is given up
 * @param repeatable whether the request may run twice without harm
 * @param cacheLeaseMillis how long the program's cache is held from now on; 0 for not at all
 */
public record AttemptOrder(
        long attempt,
        int shard,
        long epoch,
        String program,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        int priority,
        long remainingMillis,
        long stallMillis,
        boolean repeatable,
        long cacheLeaseMillis) {}
