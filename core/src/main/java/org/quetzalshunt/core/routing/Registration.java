package org.quetzalshunt.core.routing;

/**
 * The registration that an endpoint publishes.
 *
 * @param id id of the endpoint; usually changes with a restart
 * @param service service that it belongs to
 * @param address IP address, colon, port
 * @param dataCentre data centre that it runs in
 * @param slots number of requests that it processes concurrently
 * @param leaving whether it is shutting down and accepts no new work
 * @param coldMillis remaining time in which it accepts only a few requests per second; 0 when it is warm
 * @param startedMillis when its process started, in Unix milliseconds; distinguishes restarts under the same id
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
    /** Whether two registrations are equal except for the remaining time of a cold endpoint. */
    public boolean equalsExceptColdTime(Registration other) {
        return (coldMillis > 0) == (other.coldMillis > 0) && withCold(0).equals(other.withCold(0));
    }

    private Registration withCold(long millis) {
        return new Registration(id, service, address, dataCentre, slots, leaving, millis, startedMillis);
    }
}
