package org.quetzalshunt.server.entry;

/**
 * Time in which a starting entry only listens. Without it each entry of a fleet that starts together takes itself for
 * the only one: shards change hands several times in the first second, and generations of the limits that leave live
 * entries out make accounts wait for their parts, which shows as refusals within the rate.
 */
final class Joining {
    /** Two reads of the VM list and four heartbeats; a slower list costs a shard or two that move once. */
    private static final long JOIN_MILLIS = 2_000;

    private final EntryClock clock;
    private long listedMillis;

    Joining(EntryClock clock) {
        this.clock = clock;
    }

    /** Notes that the VM list was read, from when on other entries can be heard. */
    void vmsListed() {
        listedMillis = listedMillis == 0 ? clock.now() : listedMillis;
    }

    boolean isOver() {
        return listedMillis > 0 && clock.now() - listedMillis >= JOIN_MILLIS;
    }
}
