package org.quetzalshunt.app.bench.limits;

import java.util.function.Consumer;

/** Strategy that enforces account limits over several entries. */
interface Limiter {
    /** Handles a request of an account at an entry. Reports whether it is admitted, at once or up to 200 ms later. */
    void request(int entry, int account, Consumer<Boolean> admitted);

    /** Crashes the entry whose failure affects the limiter most, and returns its index. */
    int crash();

    /** Returns the total cost so far. */
    Cost cost();

    /**
     * Total cost over all entries.
     *
     * @param messages messages sent
     * @param bytes octets sent, in Thrift compact encoding with a four-octet frame header
     * @param processorNanos processor time spent in the limiter
     */
    record Cost(long messages, long bytes, long processorNanos) {}

    /**
     * Size of the fleet, limits and seed with which a limiter is created.
     *
     * @param entries number of entries
     * @param accounts number of accounts, all with the same limits
     * @param rate rate of each account in requests per second
     * @param burst burst of each account in requests
     * @param seed seed of all random choices
     */
    record Parameters(int entries, int accounts, double rate, double burst, long seed) {}
}
