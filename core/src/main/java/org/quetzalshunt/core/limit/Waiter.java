package org.quetzalshunt.core.limit;

import java.util.function.Consumer;

/**
 * A request that waits for a token.
 *
 * @param handle identifies the wait for {@link FleetLimits#cancel}
 * @param deadlineMillis time at which it is refused
 * @param callback receives the outcome
 */
record Waiter(long handle, long deadlineMillis, Consumer<TakeOutcome> callback) {}
