package org.quetzalshunt.core.limit;

/**
 * A client account of one service: what a rate and a burst belong to.
 *
 * @param service name of the service
 * @param account name of the client account
 */
public record AccountKey(String service, String account) {
    /** Text by which the account's home is chosen. */
    String hashText() {
        return service + '/' + account;
    }
}
