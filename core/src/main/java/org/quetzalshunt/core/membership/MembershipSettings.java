package org.quetzalshunt.core.membership;

/**
 * Times and sizes of the membership view.
 *
 * @param heartbeatMillis time between two rounds of heartbeats
 * @param silenceMillis silence after which a VM counts as not alive
 * @param lostConnectionMillis the same after its connection was lost, when silence means more
 * @param fanOut heartbeats that one VM sends a round
 * @param digestEntries words about others that ride on one heartbeat
 */
public record MembershipSettings(
        long heartbeatMillis, long silenceMillis, long lostConnectionMillis, int fanOut, int digestEntries) {

    /** Half a second lets one lost heartbeat pass unseen and still finds a dead VM within the lease of the limits. */
    private static final long DEFAULT_HEARTBEAT_MILLIS = 500;

    /** Eight rounds: with all words lost on the way one time in ten, a live VM is still heard within them. */
    private static final long DEFAULT_SILENCE_MILLIS = 4_000;

    /** Words about each entry come the more seldom the more entries share the digests; measured in the design note. */
    private static final long SILENCE_MILLIS_AN_ENTRY = 45;

    /** After a lost connection, one round and the time to connect again: a live peer is heard within it. */
    private static final long DEFAULT_LOST_CONNECTION_MILLIS = 600;

    /** Four straight heartbeats a round keep fleets of up to five entries fully meshed. */
    private static final int DEFAULT_FAN_OUT = 4;

    /** Twenty-four words of about 27 octets, eight times a second, use half of a node's 10 KB of control traffic. */
    private static final int DEFAULT_DIGEST_ENTRIES = 24;

    /** Values for a fleet of up to 330 VMs. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                DEFAULT_HEARTBEAT_MILLIS,
                DEFAULT_SILENCE_MILLIS,
                DEFAULT_LOST_CONNECTION_MILLIS,
                DEFAULT_FAN_OUT,
                DEFAULT_DIGEST_ENTRIES);
    }

    /** Silence after which an entry counts as not alive in a fleet of this size. */
    long silenceMillis(int entries) {
        return Math.max(silenceMillis, entries * SILENCE_MILLIS_AN_ENTRY);
    }
}
