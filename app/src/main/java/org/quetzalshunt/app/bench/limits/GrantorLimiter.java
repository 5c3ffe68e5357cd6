package org.quetzalshunt.app.bench.limits;

import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Keeps the token buckets of all accounts at one entry, the grantor. The other entries send it a message for each
 * request. A crashed grantor is replaced after its lease has expired, by an entry that starts with empty buckets.
 */
final class GrantorLimiter implements Limiter {
    /** About the time for which the escrow limiter cannot use a crashed entry's share, so that both are comparable. */
    private static final long REPLACED_AFTER_MILLIS = 4_000;

    private static final int BYTES_PER_MESSAGE = 40;

    private final VirtualTime time;
    private final Parameters parameters;
    private final SplittableRandom random;
    private TokenBucket[] buckets;
    private int grantor;
    private boolean down;
    private long messages;

    GrantorLimiter(VirtualTime time, Parameters parameters) {
        this.time = time;
        this.parameters = parameters;
        this.random = new SplittableRandom(parameters.seed());
        this.buckets = newBuckets(parameters.burst());
    }

    private TokenBucket[] newBuckets(double level) {
        TokenBucket[] created = new TokenBucket[parameters.accounts()];
        for (int account = 0; account < created.length; account++) {
            created[account] = new TokenBucket(parameters.rate(), parameters.burst(), level);
        }
        return created;
    }

    @Override
    public void request(int entry, int account, Consumer<Boolean> admitted) {
        if (entry == grantor) {
            admitted.accept(buckets[account].tryTake(time.now()));
            return;
        }
        messages += 2;
        if (down) {
            time.runAfter(200, () -> admitted.accept(false));
            return;
        }
        time.runAfter(oneWayDelayMillis(), () -> {
            boolean granted = !down && buckets[account].tryTake(time.now());
            time.runAfter(oneWayDelayMillis(), () -> admitted.accept(granted));
        });
    }

    private long oneWayDelayMillis() {
        return 1L + random.nextInt(2);
    }

    @Override
    public int crash() {
        int crashed = grantor;
        down = true;
        time.runAfter(REPLACED_AFTER_MILLIS, () -> {
            down = false;
            grantor = (crashed + 1) % parameters.entries();
            buckets = newBuckets(0);
        });
        return crashed;
    }

    @Override
    public Cost cost() {
        return new Cost(messages, messages * BYTES_PER_MESSAGE, 0);
    }
}
