package org.quetzalshunt.core.decision.queue;

/** Amount charged to a client account for work, before it is divided by the weight of the account. */
@FunctionalInterface
public interface WorkCharge {
    /**
     * Returns the charge for one request or for a correction of it.
     *
     * @param tokensOfWork work, as {@link WorkCost} counts it; negative for a downward correction
     * @param first true for the charge at dispatch, false for corrections
     */
    double charge(long tokensOfWork, boolean first);

    /** Charges tokens of work, as the virtual token counter does (Sheng et al., OSDI 2024). */
    static WorkCharge tokensOfWork() {
        return (tokensOfWork, first) -> tokensOfWork;
    }

    /** Charges one per request of any length: classic weighted fair queueing of calls. */
    static WorkCharge requests() {
        return (tokensOfWork, first) -> first ? 1 : 0;
    }

    /** Charges nothing, so that accounts are not distinguished and the oldest request goes first. */
    static WorkCharge nothing() {
        return (tokensOfWork, first) -> 0;
    }
}
