package org.quetzalshunt.core.document;

/**
 * A call of a plain service that must run at most once.
 *
 * @param method HTTP method, or {@code *}
 * @param pathPrefix path below the service, such as {@code /issues}
 */
public record CallRule(String method, String pathPrefix) {
    /** Whether the rule covers a call. */
    public boolean covers(String callMethod, String callPath) {
        return (method.equals("*") || method.equals(callMethod)) && callPath.startsWith(pathPrefix);
    }
}
