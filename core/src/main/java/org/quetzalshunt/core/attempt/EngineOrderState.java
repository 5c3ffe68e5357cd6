package org.quetzalshunt.core.attempt;

/** An engine's response to a load or unload order, or to a query for the order's state. */
public sealed interface EngineOrderState {
    /** The engine accepted the order; {@code order} is the id for later queries. */
    record Accepted(String order) implements EngineOrderState {}

    /** The order is in progress. */
    record Running() implements EngineOrderState {}

    /** The order is complete. */
    record Done() implements EngineOrderState {}

    /** The engine refused the order or failed to complete it. */
    record Failed() implements EngineOrderState {}

    /** The engine refused the order, because it has accepted one with a higher fencing token. */
    record Fenced() implements EngineOrderState {}

    /** There was no response, or an unusable one; the order may be in progress. */
    record Unknown() implements EngineOrderState {}
}
