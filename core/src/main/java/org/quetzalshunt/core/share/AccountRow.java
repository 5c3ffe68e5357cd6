package org.quetzalshunt.core.share;

/** Use of one service by one client account: at this VM, smoothed, and over all VMs as of the last allocation. */
final class AccountRow {
    /**
     * Time constant of the moving average. Its mean age equals that of an average over half a second, about three
     * turns.
     */
    private static final double TIME_CONSTANT_MILLIS = 250;

    /** Use below this counts as none. */
    static final double NEGLIGIBLE_SLOTS = 0.02;

    final String account;
    /** Requests of the account that this VM has in flight. */
    int inFlight;
    /** Number of peers' reports that refer to this row. */
    int reports;
    /** Slots in use over all VMs, as of the last allocation. */
    double fleetSlots;

    private double share = Double.POSITIVE_INFINITY;
    private double limit = Double.POSITIVE_INFINITY;
    private double ownSlots;
    private long updatedMillis;

    AccountRow(long nowMillis, String account) {
        this.account = account;
        this.updatedMillis = nowMillis;
    }

    /** Changes the requests in flight; a count never becomes negative. */
    void addInFlight(long nowMillis, int change) {
        ownSlots(nowMillis);
        inFlight = Math.max(0, inFlight + change);
    }

    /** Slots in use at this VM, smoothed. */
    double ownSlots(long nowMillis) {
        long elapsedMillis = nowMillis - updatedMillis;
        if (elapsedMillis > 0) {
            ownSlots += (inFlight - ownSlots) * (1 - Math.exp(-elapsedMillis / TIME_CONSTANT_MILLIS));
            updatedMillis = nowMillis;
        }
        return ownSlots;
    }

    boolean isIdle(long nowMillis) {
        return inFlight == 0 && reports == 0 && ownSlots(nowMillis) < NEGLIGIBLE_SLOTS;
    }

    /** Slots that the account may use while the service is short, as of the last allocation. */
    double share() {
        return share;
    }

    void setUnrestricted() {
        share = Double.POSITIVE_INFINITY;
        limit = Double.POSITIVE_INFINITY;
    }

    /**
     * Sets the share.
     *
     * @param limitFactor factor on the share above which the account is treated as above it
     * @param guaranteed slots that the account may use in any case
     */
    void setShare(double slots, double limitFactor, double guaranteed) {
        share = Math.max(slots, guaranteed);
        limit = Math.max(slots * limitFactor, guaranteed);
    }

    boolean isAboveShare() {
        return fleetSlots > limit;
    }
}
