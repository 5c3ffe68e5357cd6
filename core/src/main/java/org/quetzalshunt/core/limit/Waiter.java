package org.quetzalshunt.core.limit;

import java.util.function.Consumer;

/**
 * A request that waits for a token.
 *
 * @param handle name of the wait
 * @param deadlineMillis when it is refused
 * @param later hears the outcome
 */
record Waiter(long handle, long deadlineMillis, Consumer<TakeOutcome> later) {}
