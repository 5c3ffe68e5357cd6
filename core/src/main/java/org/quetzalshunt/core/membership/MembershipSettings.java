package org.quetzalshunt.core.membership;

/**
 * Times and sizes of the membership protocol.
 *
 * @param heartbeatIntervalMillis time between two rounds of heartbeats
 * @param timeoutMillis time without a heartbeat after which a VM counts as dead
 * @param lostConnectionTimeoutMillis the shorter timeout after a lost connection, which already indicates a failure
 * @param fanOut heartbeats that one VM sends per round
 * @param digestEntries heartbeats of other VMs that are forwarded with one heartbeat
 */
public record MembershipSettings(
        long heartbeatIntervalMillis,
        long timeoutMillis,
        long lostConnectionTimeoutMillis,
        int fanOut,
        int digestEntries) {

    /**
     * At half a second, one lost heartbeat has no effect, and a dead VM is still detected within the lease of the
     * limits.
     */
    private static final long DEFAULT_HEARTBEAT_INTERVAL_MILLIS = 500;

    /** Eight rounds: even if one message in ten is lost, a heartbeat of a live VM arrives within them. */
    private static final long DEFAULT_TIMEOUT_MILLIS = 4_000;

    /**
     * The more entries share the digests, the less often a heartbeat of each entry arrives. The design note contains
     * the measurements.
     */
    private static final long TIMEOUT_MILLIS_PER_ENTRY = 45;

    /** One round and the time to reconnect, within which a heartbeat of a live peer arrives after a lost connection. */
    private static final long DEFAULT_LOST_CONNECTION_TIMEOUT_MILLIS = 600;

    /** Four direct heartbeats per round keep fleets of up to five entries fully meshed. */
    private static final int DEFAULT_FAN_OUT = 4;

    /**
     * Twenty-four forwarded heartbeats of about 27 octets, eight times per second, use half of a node's 10 KB of
     * control traffic per second.
     */
    private static final int DEFAULT_DIGEST_ENTRIES = 24;

    /** Values for a fleet of up to 330 VMs. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                DEFAULT_HEARTBEAT_INTERVAL_MILLIS,
                DEFAULT_TIMEOUT_MILLIS,
                DEFAULT_LOST_CONNECTION_TIMEOUT_MILLIS,
                DEFAULT_FAN_OUT,
                DEFAULT_DIGEST_ENTRIES);
    }

    /** Time without a heartbeat after which an entry counts as dead in a fleet of this size. */
    long timeoutMillis(int entries) {
        return Math.max(timeoutMillis, entries * TIMEOUT_MILLIS_PER_ENTRY);
    }
}
