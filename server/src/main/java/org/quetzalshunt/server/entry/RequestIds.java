package org.quetzalshunt.server.entry;

import java.util.SplittableRandom;

/** Ids of requests: the incarnation and a random start keep the ids of two entries and of two lives apart. */
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
