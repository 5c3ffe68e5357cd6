package org.quetzalshunt.core.decision.endpoint;

/** How much of an endpoint's limit a request may use. */
@FunctionalInterface
public interface RoomRule {
    /**
     * Part of the limit that new programs may fill. Answers saturation: the rest is kept for later turns, as guard
     * channels keep room for calls in progress (Hong and Rappaport 1986). Without it a later turn finds the endpoint
     * that holds its prefix full, and its whole prompt is computed again elsewhere, which takes the capacity that
     * was short.
     */
    double NEW_PROGRAM_PART = 0.9;

    /**
     * Part of the limit for new programs that have waited long: the bound against their starvation, since later
     * turns alone cannot fill an endpoint for long when the programs behind them end.
     */
    double AGED_PROGRAM_PART = 1;

    /**
     * Part of the limit that later turns may fill, where the rest waits in the endpoint's own queue for a moment.
     * Cheaper than a new computation of a long prompt as long as a slot frees within a second or so.
     */
    double LATER_TURN_PART = 1.25;

    /**
     * Part of the limit that accounts with clearly less than their share may fill. Answers one account's flood, whose
     * later turns fill every endpoint to {@link #LATER_TURN_PART}: without more room a quiet account is first in line
     * but waits for the one endpoint that holds its prefix. An account near its share loses the claim, so the overshoot
     * ends by itself and never passes half of the limit.
     */
    double UNDERSERVED_PART = 1.5;

    /** Part of the limit up to which a request may be sent. */
    double part(Urgency urgency);

    /** Room kept for programs in progress. */
    static RoomRule guarded() {
        return urgency -> switch (urgency) {
            case NEW_PROGRAM -> NEW_PROGRAM_PART;
            case AGED_PROGRAM -> AGED_PROGRAM_PART;
            case LATER_TURN -> LATER_TURN_PART;
            case UNDERSERVED -> UNDERSERVED_PART;
        };
    }

    /** The limit for everybody. */
    static RoomRule equal() {
        return urgency -> 1;
    }

    /** No limit: requests wait inside the endpoint. */
    static RoomRule unlimited() {
        return urgency -> Double.POSITIVE_INFINITY;
    }
}
