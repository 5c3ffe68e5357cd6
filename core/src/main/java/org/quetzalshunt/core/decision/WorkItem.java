package org.quetzalshunt.core.decision;

/**
 * A request that waits or runs at the owner of its program's shard.
 *
 * @param id unique at this entry
 * @param service service that the request names
 * @param clientAccount account whose key came with the request
 * @param weight share of the account under contention, above zero
 * @param program root program, so that sub-agents count with their root
 * @param cacheKey program whose prefix an engine may hold; empty for none
 * @param turn turn within its program, from zero
 * @param promptTokens whole prompt, cached or not; zero for a plain service
 * @param expectedOutputTokens expected answer; one for a plain service
 * @param arrivedMillis when the request came, on the clock that the caller of the scheduler passes in
 * @param deadlineMillis when its last byte must be out, on the same clock
 * @param attemptsBefore attempts that ended without an answer
 * @param avoidEndpoint endpoint that failed it, or empty
 */
public record WorkItem(
        long id,
        String service,
        String clientAccount,
        double weight,
        String program,
        String cacheKey,
        int turn,
        long promptTokens,
        long expectedOutputTokens,
        long arrivedMillis,
        long deadlineMillis,
        int attemptsBefore,
        String avoidEndpoint) {}
