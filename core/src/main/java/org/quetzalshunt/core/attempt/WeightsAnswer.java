package org.quetzalshunt.core.attempt;

/** What the weight store said. */
public sealed interface WeightsAnswer {
    /** The version can be loaded. */
    record Ready() implements WeightsAnswer {}

    /** The store is over its rate; ask again after so many milliseconds. */
    record Later(long millis) implements WeightsAnswer {}

    /** The store lacks the version. */
    record Missing() implements WeightsAnswer {}

    /** No answer. */
    record Unknown() implements WeightsAnswer {}
}
