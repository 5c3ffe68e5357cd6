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

    /** Four rounds: a word needs about four rounds to reach 330 VMs at the default fan-out, measured in the design note. */
    private static final long DEFAULT_SILENCE_MILLIS = 4_000;

    /** After a lost connection, one round and the time to connect again: a live peer is heard within it. */
    private static final long DEFAULT_LOST_CONNECTION_MILLIS = 600;

    /** Four straight heartbeats a round keep fleets of up to five entries fully meshed. */
    private static final int DEFAULT_FAN_OUT = 4;

    /** Sixteen words of about 25 octets keep a heartbeat under half a kilobyte. */
    private static final int DEFAULT_DIGEST_ENTRIES = 16;

    /** Values for a fleet of up to 330 VMs. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                DEFAULT_HEARTBEAT_MILLIS,
                DEFAULT_SILENCE_MILLIS,
                DEFAULT_LOST_CONNECTION_MILLIS,
                DEFAULT_FAN_OUT,
                DEFAULT_DIGEST_ENTRIES);
    }
}
