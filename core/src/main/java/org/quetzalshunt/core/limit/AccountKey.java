package org.quetzalshunt.core.limit;

/**
 * A client account of one service, to which a rate and a burst belong.
 *
 * @param service name of the service
 * @param account name of the client account
 */
public record AccountKey(String service, String account) {
    /** Key by which the account's home is chosen in rendezvous hashing. */
    String hashKey() {
        return service + '/' + account;
    }
}
