package org.quetzalshunt.core.routing;

/**
 * Service-discovery record that an endpoint publishes in the platform's store.
 *
 * @param id id of the endpoint; usually changes with a restart
 * @param service service that it belongs to
 * @param address IP address, colon, port
 * @param dataCentre data centre that it runs in
 * @param slots maximum number of requests that it processes concurrently
 * @param leaving whether it is shutting down and accepts no new work
 * @param coldMillis remaining warm-up time when the registration was read, in which it accepts only a few requests per
 *     second; 0 if it is warm
 * @param startedMillis when its process started, in Unix milliseconds; 0 if unknown; distinguishes restarts under the
 *     same id
 */
public record Registration(
        String id,
        String service,
        String address,
        String dataCentre,
        int slots,
        boolean leaving,
        long coldMillis,
        long startedMillis) {
    /**
     * Whether this registration equals another, ignoring how long a cold endpoint stays cold; a cold endpoint never
     * equals a warm one.
     */
    public boolean equalsExceptColdTime(Registration other) {
        return (coldMillis > 0) == (other.coldMillis > 0) && withCold(0).equals(other.withCold(0));
    }

    private Registration withCold(long millis) {
        return new Registration(id, service, address, dataCentre, slots, leaving, millis, startedMillis);
    }
}
