package org.quetzalshunt.core.decision;

/**
 * Result of one attempt.
 *
 * @param kind how the attempt ended
 * @param promptTokens tokens of the whole prompt
 * @param cachedTokens tokens of the prompt that were in the cache of the engine
 * @param outputTokens tokens delivered
 * @param timeToFirstTokenMillis time from dispatch to the first token; zero if there was none
 * @param durationMillis time from dispatch to the end
 */
public record FinishedAttempt(
        FinishKind kind,
        long promptTokens,
        long cachedTokens,
        long outputTokens,
        long timeToFirstTokenMillis,
        long durationMillis) {

    /** Result of an attempt with a complete answer. */
    public static FinishedAttempt ok(
            long promptTokens, long cachedTokens, long outputTokens, long timeToFirstTokenMillis, long durationMillis) {
        return new FinishedAttempt(
                FinishKind.OK, promptTokens, cachedTokens, outputTokens, timeToFirstTokenMillis, durationMillis);
    }

    /** Result of an attempt that failed because of the endpoint. */
    public static FinishedAttempt endpointFailed(long outputTokens, long durationMillis) {
        return new FinishedAttempt(FinishKind.ENDPOINT_FAILED, 0, 0, outputTokens, 0, durationMillis);
    }

    /** Result of an attempt that was cancelled because its caller no longer waits for it. */
    public static FinishedAttempt cancelled(long outputTokens, long durationMillis) {
        return new FinishedAttempt(FinishKind.CANCELLED, 0, 0, outputTokens, 0, durationMillis);
    }
}
