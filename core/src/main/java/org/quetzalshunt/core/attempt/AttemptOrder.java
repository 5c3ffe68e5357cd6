package org.quetzalshunt.core.attempt;

import java.util.Map;

/**
 * Order from a shard's owner to run one attempt of a request. Idempotent by its attempt id.
 *
 * @param attempt attempt id, unique over all owners and their incarnations
 * @param shard shard of the program
 * @param epoch the owner's epoch in that shard
 * @param program id of the program, also the key of its cache entry at an engine; empty for a call outside programs
 * @param method HTTP method
 * @param path path with its query
 * @param headers request headers; those that {@link EndpointHeaders} does not allow are dropped
 * @param body request body, sent to the endpoint unchanged
 * @param priority 0 is the most urgent
 * @param remainingMillis time left to the request's deadline
 * @param stallMillis time without progress after which the attempt is aborted; 0 for no limit
 * @param repeatable whether the request may run twice without harm
 * @param cacheLeaseMillis lease on the program's cache entry, counted from the start of the attempt; 0 for none
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
