package org.quetzalshunt.core.configuration;

/** Whether a node may serve requests by its configuration. */
public enum ConfigurationStatus {
    /** The configuration is fresh; see {@link Freshness}. */
    FRESH,
    /** A peer has applied a newer change, and a read that is expected to return it is due or pending. */
    CATCHING_UP,
    /** The configuration may be out of date. */
    STALE
}
