package org.quetzalshunt.core.share;

import java.util.List;

/**
 * State of one service for operators.
 *
 * @param slots slots of the service
 * @param isShort whether a shortage of slots has lasted
 * @param unnamedSlots slots in use without an account, or by the smallest accounts at peers
 * @param accounts the accounts that use the most slots, largest first
 * @param aboveShare number of accounts above their share
 */
public record ServiceStatus(
        String service,
        int slots,
        boolean isShort,
        double unnamedSlots,
        List<AccountStatus> accounts,
        long aboveShare) {}
