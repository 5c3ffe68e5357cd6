package org.quetzalshunt.core.document;

/** What stands behind a service. */
public enum ServiceKind {
    /** Model engines that speak the chat completions API. */
    ENGINE,
    /** A plain HTTP service. */
    PLAIN
}
