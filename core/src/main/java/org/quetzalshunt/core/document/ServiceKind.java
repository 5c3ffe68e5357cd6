package org.quetzalshunt.core.document;

/** The kind of a service's endpoints. */
public enum ServiceKind {
    /** Model engines that implement the chat completions API. */
    ENGINE,
    /** A plain HTTP service. */
    PLAIN
}
