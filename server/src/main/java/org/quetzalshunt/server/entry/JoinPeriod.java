package org.quetzalshunt.server.entry;

/**
 * Period after start in which an entry discovers the others. Until it is over, the entry claims no shards and does not
 * pass membership changes to the rate limits. Without it, each of several entries that start together would consider
 * itself the only one: shards would change owner several times in the first second, and limit generations (the records
 * that name the entries which share the rates) would omit live entries. Accounts would then have to wait for their part
 * of the rate, and requests within their rate would be refused.
 */
final class JoinPeriod {
    /** Enough for two reads of the VM list and four heartbeats. With a slower list, one or two shards may move once. */
    private static final long JOIN_MILLIS = 2_000;

    private final EntryClock clock;
    private long listedMillis;

    JoinPeriod(EntryClock clock) {
        this.clock = clock;
    }

    /** Starts the period at the first read of the VM list, because only then can links to other entries be opened. */
    void onVmListRead() {
        listedMillis = listedMillis == 0 ? clock.now() : listedMillis;
    }

    boolean isOver() {
        return listedMillis > 0 && clock.now() - listedMillis >= JOIN_MILLIS;
    }
}
