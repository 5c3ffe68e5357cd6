package org.quetzalshunt.core.decision;

/**
 * The end of one attempt.
 *
 * @param kind how it ended
 * @param promptTokens whole prompt
 * @param cachedTokens part of the prompt that the engine found in its cache
 * @param outputTokens tokens delivered
 * @param timeToFirstTokenMillis from dispatch to the first token; zero when none came
 * @param durationMillis from dispatch to the end
 */
public record Finish(
        FinishKind kind,
        long promptTokens,
        long cachedTokens,
        long outputTokens,
        long timeToFirstTokenMillis,
        long durationMillis) {

    /** A whole answer. */
    public static Finish ok(
            long promptTokens, long cachedTokens, long outputTokens, long timeToFirstTokenMillis, long durationMillis) {
        return new Finish(
                FinishKind.OK, promptTokens, cachedTokens, outputTokens, timeToFirstTokenMillis, durationMillis);
    }

    /** An attempt that the endpoint failed. */
    public static Finish endpointFailed(long outputTokens, long durationMillis) {
        return new Finish(FinishKind.ENDPOINT_FAILED, 0, 0, outputTokens, 0, durationMillis);
    }

    /** An attempt that nobody waits for any more. */
    public static Finish cancelled(long outputTokens, long durationMillis) {
        return new Finish(FinishKind.CANCELLED, 0, 0, outputTokens, 0, durationMillis);
    }
}
