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
 * @param coldMillis how much longer it takes only a few requests a second, as it said; 0 once it is warm
 * @param bornMillis when its process started, in Unix milliseconds; distinguishes restarts under the same id
 */
public record Registration(
        String id,
        String service,
        String address,
        String dataCentre,
        int slots,
        boolean leaving,
        long coldMillis,
        long bornMillis) {
    /** Whether it says the same of itself as another registration, but for the time that passes while it is cold. */
    public boolean sameAs(Registration other) {
        return (coldMillis > 0) == (other.coldMillis > 0) && withCold(0).equals(other.withCold(0));
    }

    private Registration withCold(long millis) {
        return new Registration(id, service, address, dataCentre, slots, leaving, millis, bornMillis);
    }
}
