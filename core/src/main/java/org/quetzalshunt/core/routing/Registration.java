package org.quetzalshunt.core.routing;

/**
 * An endpoint's registration of itself.
 *
 * @param id its id; a restart mostly has another
 * @param service service that it belongs to
 * @param address IP number, colon, port
 * @param dataCentre where it is
 * @param slots requests that it works on at once
 * @param leaving whether it takes no new work
 * @param bornMillis when its process started, in Unix milliseconds; distinguishes restarts under the same id
 */
public record Registration(
        String id, String service, String address, String dataCentre, int slots, boolean leaving, long bornMillis) {}
