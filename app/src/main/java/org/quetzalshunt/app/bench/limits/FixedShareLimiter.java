package org.quetzalshunt.app.bench.limits;

import java.util.function.Consumer;

/** Gives each entry a fixed, equal share of every limit and sends no messages. */
final class FixedShareLimiter implements Limiter {
    private final VirtualTime time;
    private final TokenBucket[][] buckets;

    FixedShareLimiter(VirtualTime time, Parameters parameters) {
        this.time = time;
        this.buckets = new TokenBucket[parameters.entries()][parameters.accounts()];
        for (TokenBucket[] entry : buckets) {
            for (int account = 0; account < entry.length; account++) {
                double burst = parameters.burst() / parameters.entries();
                entry[account] = new TokenBucket(parameters.rate() / parameters.entries(), burst, burst);
            }
        }
    }

    @Override
    public void request(int entry, int account, Consumer<Boolean> admitted) {
        admitted.accept(buckets[entry][account].tryTake(time.now()));
    }

    @Override
    public int crash() {
        // The other entries cannot use the share of the crashed entry.
        return 0;
    }

    @Override
    public Cost cost() {
        return new Cost(0, 0, 0);
    }
}
