package org.quetzalshunt.app.bench.limits;

import java.util.function.Consumer;

/** Every entry has the same share for ever; no messages. */
final class FixedShareLimiter implements Limiter {
    private final VirtualTime time;
    private final TokenBucket[][] buckets;

    FixedShareLimiter(VirtualTime time, Shape shape) {
        this.time = time;
        this.buckets = new TokenBucket[shape.entries()][shape.accounts()];
        for (TokenBucket[] entry : buckets) {
            for (int account = 0; account < entry.length; account++) {
                double burst = shape.burst() / shape.entries();
                entry[account] = new TokenBucket(shape.rate() / shape.entries(), burst, burst);
            }
        }
    }

    @Override
    public void request(int entry, int account, Consumer<Boolean> admitted) {
        admitted.accept(buckets[entry][account].tryTake(time.now()));
    }

    @Override
    public int crash() {
        // The dead entry's share stays with it: nobody else may use it.
        return 0;
    }

    @Override
    public Cost cost() {
        return new Cost(0, 0, 0);
    }
}
