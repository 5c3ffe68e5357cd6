package org.quetzalshunt.server.entry;

import java.util.SplittableRandom;

/**
 * Generates request ids. The prefix is derived from VM name and incarnation, so ids differ between VMs and restarts.
 */
final class RequestIds {
    private final String prefix;
    private long counter;

    RequestIds(long incarnation, String vm) {
        long random = new SplittableRandom(incarnation ^ ((long) vm.hashCode() << 32)).nextLong();
        this.prefix = Long.toHexString(random) + "-";
    }

    String next() {
        return prefix + Long.toHexString(counter++);
    }
}
