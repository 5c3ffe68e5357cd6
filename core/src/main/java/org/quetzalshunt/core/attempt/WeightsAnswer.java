package org.quetzalshunt.core.attempt;

/** Response of the weight store to a request for a model version. */
public sealed interface WeightsAnswer {
    /** The version can be loaded. */
    record Ready() implements WeightsAnswer {}

    /** The store's rate limit is exceeded; retry after {@code millis}. */
    record RateLimited(long millis) implements WeightsAnswer {}

    /** The store does not have the version. */
    record Missing() implements WeightsAnswer {}

    /** There was no response, or an unusable one. */
    record Unknown() implements WeightsAnswer {}
}
