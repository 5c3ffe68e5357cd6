package org.quetzalshunt.app.bench.limits;

import java.util.SplittableRandom;
import java.util.function.Consumer;

/** One entry holds the bucket of every account; each request asks it. A dead grantor is replaced after its lease. */
final class GrantorLimiter implements Limiter {
    /** The same lease and detection as the escrow's, so that both pay the same for a crash. */
    private static final long REPLACED_AFTER_MILLIS = 4_000;

    private static final int BYTES_EACH_WAY = 40;

    private final VirtualTime time;
    private final Shape shape;
    private final SplittableRandom random;
    private TokenBucket[] buckets;
    private int grantor;
    private boolean down;
    private long messages;

    GrantorLimiter(VirtualTime time, Shape shape) {
        this.time = time;
        this.shape = shape;
        this.random = new SplittableRandom(shape.seed());
        this.buckets = buckets(shape.burst());
    }

    private TokenBucket[] buckets(double level) {
        TokenBucket[] made = new TokenBucket[shape.accounts()];
        for (int account = 0; account < made.length; account++) {
            made[account] = new TokenBucket(shape.rate(), shape.burst(), level);
        }
        return made;
    }

    @Override
    public void request(int entry, int account, Consumer<Boolean> admitted) {
        if (entry == grantor) {
            admitted.accept(buckets[account].tryTake(time.now()));
            return;
        }
        messages += 2;
        if (down) {
            time.after(200, () -> admitted.accept(false));
            return;
        }
        time.after(oneWay(), () -> {
            boolean granted = !down && buckets[account].tryTake(time.now());
            time.after(oneWay(), () -> admitted.accept(granted));
        });
    }

    private long oneWay() {
        return 1L + random.nextInt(2);
    }

    @Override
    public int crash() {
        int died = grantor;
        down = true;
        time.after(REPLACED_AFTER_MILLIS, () -> {
            down = false;
            grantor = (died + 1) % shape.entries();
            buckets = buckets(0);
        });
        return died;
    }

    @Override
    public Cost cost() {
        return new Cost(messages, messages * BYTES_EACH_WAY, 0);
    }
}
