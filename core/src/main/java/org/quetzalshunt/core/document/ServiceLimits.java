package org.quetzalshunt.core.document;

/**
 * Limits of one service, all of which a document may leave out.
 *
 * @param requestDeadlineMillis time from arrival to last byte
 * @param stallMillis time without progress after which an attempt counts as failed
 * @param queuePerAccount requests of one client account that may wait at one entry
 * @param programBudgetTokens budget of a program that names none
 * @param reservationTokens tokens reserved for a turn before it runs
 * @param maximumTurns turns after which a program ends
 * @param programIdleMillis idle time after which a program ends
 * @param idempotencyMillis how long a result is kept for a re-send
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

    /** Values in force where a document is silent. */
    public static ServiceLimits defaults() {
        return new ServiceLimits(60_000, 10_000, 256, 200_000, 2_048, 150, 3_600_000, 3_600_000);
    }
}
