package org.quetzalshunt.core.document;

/**
 * Matches calls of a plain service that must run at most once.
 *
 * @param method HTTP method, or {@code *} for any
 * @param pathPrefix prefix of the path within the service, such as {@code /issues}
 */
public record CallRule(String method, String pathPrefix) {
    /** Whether the rule applies to a call. */
    public boolean matches(String callMethod, String callPath) {
        return (method.equals("*") || method.equals(callMethod)) && callPath.startsWith(pathPrefix);
    }
}
