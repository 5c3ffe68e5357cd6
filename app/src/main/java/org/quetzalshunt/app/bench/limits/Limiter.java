package org.quetzalshunt.app.bench.limits;

import java.util.function.Consumer;

/** One way to hold accounts to their limits over several entries. */
interface Limiter {
    /** A request of an account at an entry; the answer comes at once or up to 200 ms later. */
    void request(int entry, int account, Consumer<Boolean> admitted);

    /** The entry whose death costs most dies; its number is returned. */
    int crash();

    /** What crossed the network so far. */
    Cost cost();

    /**
     * Sums over all entries.
     *
     * @param messages messages sent
     * @param bytes octets sent, in Thrift's compact form with four octets of frame
     * @param processorNanos processor time spent in the limiter
     */
    record Cost(long messages, long bytes, long processorNanos) {}

    /**
     * What a limiter is built for.
     *
     * @param entries entries
     * @param accounts accounts, all with the same limits
     * @param rate requests a second of each account
     * @param burst burst of each account
     * @param seed of every choice by chance
     */
    record Shape(int entries, int accounts, double rate, double burst, long seed) {}
}
