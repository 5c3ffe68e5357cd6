package org.quetzalshunt.server.transport;

/**
 * Settings that all links of a process share.
 *
 * @param self identity of this process
 * @param secret the deployment's shared secret
 * @param idleTimeoutMillis time without data after which a link is closed; several heartbeat intervals
 */
public record LinkSettings(LinkIdentity self, byte[] secret, long idleTimeoutMillis) {
    /**
     * Five seconds are five heartbeat intervals: one heartbeat missed during a pause does not close the link, and a
     * half-open link is detected in time.
     */
    public static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 5_000;

    /** Settings with the default idle timeout. */
    public static LinkSettings of(LinkIdentity self, byte[] secret) {
        return new LinkSettings(self, secret.clone(), DEFAULT_IDLE_TIMEOUT_MILLIS);
    }
}
