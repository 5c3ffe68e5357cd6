package org.quetzalshunt.core.decision;

/**
 * A request that is queued or running at the entry that owns its program's shard.
 *
 * @param id id, unique at this entry
 * @param service service that the request is for
 * @param clientAccount account of the API key of the request
 * @param weight share of the account under contention, above zero
 * @param program root program, so that sub-agents count as part of their root
 * @param cacheKey program whose prefix an engine may have cached; empty for none
 * @param turn turn within its program, from zero
 * @param promptTokens tokens of the whole prompt, cached or not; zero for a service without prompts
 * @param expectedOutputTokens expected tokens of the answer; one for a service without prompts
 * @param arrivedMillis arrival time on the clock that the caller of the scheduler passes in
 * @param deadlineMillis time by which the last byte must be sent, on the same clock
 * @param previousAttempts number of attempts that ended without an answer
 * @param avoidEndpoint endpoint where an attempt failed, or empty
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
        int previousAttempts,
        String avoidEndpoint) {}
