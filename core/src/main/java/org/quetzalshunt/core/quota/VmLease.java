package org.quetzalshunt.core.quota;

/**
 * This VM's lease on the quota shares that it holds. A heartbeat that the store acknowledged renews it, counted from when
 * the heartbeat was sent; a renewal that is acknowledged only after the lease has run out does not count, and a new term
 * begins in which nothing is held yet.
 *
 * <p>The holder's lease is shorter than the time for which peers respect it ({@link PeerTable#OBSERVED_MILLIS}). Each side
 * measures on its own monotonic clock, so the holder always stops first.
 */
public final class VmLease {
    /** Keys expire after five seconds without the store, so a longer lease would serve no request. */
    public static final long LEASE_MILLIS = 6_000;

    /** The epoch of a process's first lease. */
    public static final long FIRST_EPOCH = 1;

    /** A third of the lease: one heartbeat may be lost. */
    private static final long RENEWAL_MILLIS = 2_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long incarnation;
    private final String linkAddress;
    private long epoch = FIRST_EPOCH;
    private long sequence;
    private long renewedMillis = NEVER;

    private VmLease(long incarnation, String linkAddress) {
        this.incarnation = incarnation;
        this.linkAddress = linkAddress;
    }

    /** A lease that is not in force yet. */
    public static VmLease create(long incarnation, String linkAddress) {
        return new VmLease(incarnation, linkAddress);
    }

    /** Whether shares of the present term may be used. */
    public boolean inForce(long nowMillis) {
        return nowMillis - renewedMillis < LEASE_MILLIS;
    }

    /** The present term; a lease that has run out begins a new one. */
    public LeaseTerm term(long nowMillis) {
        if (renewedMillis != NEVER && !inForce(nowMillis)) {
            lapse();
        }
        return new LeaseTerm(incarnation, epoch);
    }

    /** Whether a heartbeat should be sent. */
    public boolean renewalDue(long nowMillis) {
        return nowMillis - renewedMillis >= RENEWAL_MILLIS;
    }

    /** The next heartbeat to send. */
    public VmHeartbeat nextHeartbeat(long nowMillis) {
        LeaseTerm term = term(nowMillis);
        return new VmHeartbeat(term.incarnation(), term.epoch(), ++sequence, linkAddress, false);
    }

    /** The heartbeat of a graceful shutdown, with which peers may take over all shares at once. */
    public VmHeartbeat lastHeartbeat() {
        lapse();
        return new VmHeartbeat(incarnation, epoch, ++sequence, linkAddress, true);
    }

    /** The store acknowledged a heartbeat. */
    public void renewed(long nowMillis, long sentMillis, VmHeartbeat heartbeat) {
        if (term(nowMillis).epoch() == heartbeat.epoch()) {
            renewedMillis = Math.max(renewedMillis, sentMillis);
        }
    }

    /** Ends the lease at once, as after a pause of the process of unknown length. */
    public void lapse() {
        epoch++;
        renewedMillis = NEVER;
    }
}
