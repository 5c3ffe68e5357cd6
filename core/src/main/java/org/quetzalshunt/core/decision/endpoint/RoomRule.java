package org.quetzalshunt.core.decision.endpoint;

/** Decides which part of the concurrency limit of an endpoint a request may use. */
@FunctionalInterface
public interface RoomRule {
    /**
     * Part of the limit for new programs. The rest is reserved for later turns, as guard channels reserve capacity for
     * calls in progress (Hong and Rappaport 1986). At saturation, a later turn would otherwise find the endpoint with
     * its prefix full, and its whole prompt would be computed again elsewhere, which takes more of the scarce capacity.
     */
    double NEW_PROGRAM_PART = 0.9;

    /**
     * Part of the limit for new programs that have waited for long, which bounds their starvation. Later turns alone
     * cannot fill an endpoint for long, since their programs end.
     */
    double AGED_PROGRAM_PART = 1;

    /**
     * Part of the limit for later turns. Those above the limit wait briefly in the queue of the endpoint itself, which
     * is cheaper than computing a long prompt again as long as a slot becomes free within a second or so.
     */
    double LATER_TURN_PART = 1.25;

    /**
     * Part of the limit for accounts with clearly less than their share. When the later turns of one account fill every
     * endpoint to {@link #LATER_TURN_PART}, a quiet account is first in the queue but waits for the one endpoint that
     * has its prefix. An account that gets near its share loses this privilege, so the excess ends by itself and never
     * exceeds half of the limit.
     */
    double UNDERSERVED_PART = 1.5;

    /** Returns the part of the limit that a request may use. */
    double part(Urgency urgency);

    /** Reserves capacity for programs in progress. */
    static RoomRule guarded() {
        return urgency -> switch (urgency) {
            case NEW_PROGRAM -> NEW_PROGRAM_PART;
            case AGED_PROGRAM -> AGED_PROGRAM_PART;
            case LATER_TURN -> LATER_TURN_PART;
            case UNDERSERVED -> UNDERSERVED_PART;
        };
    }

    /** Allows the whole limit for every request. */
    static RoomRule equal() {
        return urgency -> 1;
    }

    /** Ignores the limit, so that requests wait inside the endpoint. */
    static RoomRule unlimited() {
        return urgency -> Double.POSITIVE_INFINITY;
    }
}
