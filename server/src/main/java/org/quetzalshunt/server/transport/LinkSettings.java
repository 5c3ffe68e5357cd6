package org.quetzalshunt.server.transport;

/**
 * What every link of a process shares.
 *
 * @param self who this process is
 * @param secret the deployment's shared secret
 * @param silenceMillis silence after which a link is taken for dead; above several heartbeat intervals
 */
public record LinkSettings(LinkIdentity self, byte[] secret, long silenceMillis) {
    /** Five seconds hold five heartbeats: one lost to a pause does not cut a link, a half-open one shows in time. */
    public static final long DEFAULT_SILENCE_MILLIS = 5_000;

    /** Settings with the default silence. */
    public static LinkSettings of(LinkIdentity self, byte[] secret) {
        return new LinkSettings(self, secret.clone(), DEFAULT_SILENCE_MILLIS);
    }
}
