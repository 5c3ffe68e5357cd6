package org.quetzalshunt.core.decision.queue;

/** What a client account is charged for work, before its weight divides it. */
@FunctionalInterface
public interface WorkCharge {
    /**
     * Charge for one request or for a correction of it.
     *
     * @param tokensOfWork work, as {@link WorkCost} counts it; negative in a correction downwards
     * @param first whether this is the charge at dispatch, false for corrections
     */
    double charge(long tokensOfWork, boolean first);

    /** By tokens of work, as the virtual token counter does (Sheng et al., OSDI 2024). */
    static WorkCharge tokensOfWork() {
        return (tokensOfWork, first) -> tokensOfWork;
    }

    /** One for each request, however long: classic weighted fair queueing of calls. */
    static WorkCharge requests() {
        return (tokensOfWork, first) -> first ? 1 : 0;
    }

    /** Nothing: accounts are not told apart, and the oldest request goes first. */
    static WorkCharge nothing() {
        return (tokensOfWork, first) -> 0;
    }
}
