package org.quetzalshunt.app.bench.limits;

import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Every entry admits by its own guess of the whole bucket and tells the others ten times a second what it admitted. */
final class GossipLimiter implements Limiter {
    private static final long ROUND_MILLIS = 100;
    private static final int HEAD_BYTES = 12;
    private static final int ACCOUNT_BYTES = 12;

    private final VirtualTime time;
    private final Shape shape;
    private final SplittableRandom random;
    private final TokenBucket[][] guesses;
    private final int[][] untold;
    private final boolean[] dead;
    private long messages;
    private long bytes;

    GossipLimiter(VirtualTime time, Shape shape) {
        this.time = time;
        this.shape = shape;
        this.random = new SplittableRandom(shape.seed());
        this.guesses = new TokenBucket[shape.entries()][shape.accounts()];
        this.untold = new int[shape.entries()][shape.accounts()];
        this.dead = new boolean[shape.entries()];
        for (int entry = 0; entry < shape.entries(); entry++) {
            int teller = entry;
            for (int account = 0; account < shape.accounts(); account++) {
                guesses[entry][account] = new TokenBucket(shape.rate(), shape.burst(), shape.burst());
            }
            time.every(ROUND_MILLIS, 1 + random.nextLong(ROUND_MILLIS), () -> tell(teller));
        }
    }

    private void tell(int teller) {
        for (int account = 0; account < shape.accounts(); account++) {
            int admitted = untold[teller][account];
            untold[teller][account] = 0;
            if (admitted > 0 && !dead[teller]) {
                tellOthers(teller, account, admitted);
            }
        }
    }

    private void tellOthers(int teller, int account, int admitted) {
        for (int entry = 0; entry < shape.entries(); entry++) {
            int listener = entry;
            if (listener != teller) {
                messages++;
                bytes += HEAD_BYTES + ACCOUNT_BYTES;
                time.after(1L + random.nextInt(2), () -> guesses[listener][account].take(time.now(), admitted));
            }
        }
    }

    @Override
    public void request(int entry, int account, Consumer<Boolean> admitted) {
        boolean taken = guesses[entry][account].tryTake(time.now());
        if (taken) {
            untold[entry][account]++;
        }
        admitted.accept(taken);
    }

    @Override
    public int crash() {
        dead[0] = true;
        return 0;
    }

    @Override
    public Cost cost() {
        return new Cost(messages, bytes, 0);
    }
}
