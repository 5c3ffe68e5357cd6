package org.quetzalshunt.core.document;

/**
 * Limits of one service. A document may omit any of them.
 *
 * @param requestDeadlineMillis maximum time from the arrival of a request to the last byte of its response
 * @param stallMillis time without progress after which an attempt counts as failed
 * @param queuePerAccount maximum queued requests of one client account in one entry process
 * @param programBudgetTokens budget of a program that does not specify one
 * @param reservationTokens tokens reserved for a turn before it runs
 * @param maximumTurns maximum number of turns of a program
 * @param programIdleMillis idle time after which a program is ended
 * @param idempotencyMillis how long a result is kept to answer repeated requests
 */
public record ServiceLimits(
        long requestDeadlineMillis,
        long stallMillis,
        int queuePerAccount,
        long programBudgetTokens,
        long reservationTokens,
        int maximumTurns,
        long programIdleMillis,
        long idempotencyMillis) {

    /** Values for limits that a document omits. */
    public static ServiceLimits defaults() {
        return new ServiceLimits(60_000, 10_000, 256, 200_000, 2_048, 150, 3_600_000, 3_600_000);
    }
}
