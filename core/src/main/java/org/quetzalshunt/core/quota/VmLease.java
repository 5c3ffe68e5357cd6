package org.quetzalshunt.core.quota;

/**
 * This VM's lease on its quota shares. A heartbeat that the store acknowledges renews the lease, counted from the time
 * at which the heartbeat was sent. An acknowledgement that arrives after the lease has expired is ignored: a new term
 * begins, in which this VM holds no shares yet.
 *
 * <p>The holder's lease is shorter than the time for which peers respect it ({@link
 * PeerTable#LEASE_OBSERVATION_MILLIS}). Each side measures on its own monotonic clock, so the holder always stops using
 * its shares before a peer takes them over.
 */
public final class VmLease {
    /** Keys expire after five seconds without the store, so a longer lease would serve no request. */
    public static final long LEASE_MILLIS = 6_000;

    /** The epoch of a process's first lease. */
    public static final long FIRST_EPOCH = 1;

    /** A third of the lease: one heartbeat may be lost without loss of the lease. */
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

    /** Creates a lease that is not in force yet. */
    public static VmLease create(long incarnation, String linkAddress) {
        return new VmLease(incarnation, linkAddress);
    }

    /** Whether shares of the current term may be used. */
    public boolean inForce(long nowMillis) {
        return nowMillis - renewedMillis < LEASE_MILLIS;
    }

    /** The current term. If the lease has expired, this begins a new term. */
    public LeaseTerm term(long nowMillis) {
        if (renewedMillis != NEVER && !inForce(nowMillis)) {
            expire();
        }
        return new LeaseTerm(incarnation, epoch);
    }

    /** Whether the next heartbeat is due. */
    public boolean renewalDue(long nowMillis) {
        return nowMillis - renewedMillis >= RENEWAL_MILLIS;
    }

    /** Creates the next heartbeat to send. */
    public VmHeartbeat nextHeartbeat(long nowMillis) {
        LeaseTerm term = term(nowMillis);
        return new VmHeartbeat(term.incarnation(), term.epoch(), ++sequence, linkAddress, false);
    }

    /**
     * Ends the lease and creates the heartbeat of a graceful shutdown, on which peers may take over all shares at once.
     */
    public VmHeartbeat endWithFinalHeartbeat() {
        expire();
        return new VmHeartbeat(incarnation, epoch, ++sequence, linkAddress, true);
    }

    /** Handles the store's acknowledgement of a heartbeat. */
    public void onRenewalAcknowledged(long nowMillis, long sentMillis, VmHeartbeat heartbeat) {
        if (term(nowMillis).epoch() == heartbeat.epoch()) {
            renewedMillis = Math.max(renewedMillis, sentMillis);
        }
    }

    /** Ends the lease at once, for example after a pause of the process of unknown length. */
    public void expire() {
        epoch++;
        renewedMillis = NEVER;
    }
}
