package org.quetzalshunt.app.bench.limits;

import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Each entry admits requests against its own estimate of the fleet-wide token bucket and sends the number of admitted
 * requests to all other entries every 100 ms.
 */
final class GossipLimiter implements Limiter {
    private static final long GOSSIP_INTERVAL_MILLIS = 100;
    private static final int HEADER_BYTES = 12;
    private static final int ACCOUNT_BYTES = 12;

    private final VirtualTime time;
    private final Parameters parameters;
    private final SplittableRandom random;
    private final TokenBucket[][] estimates;
    private final int[][] unsentAdmissions;
    private final boolean[] isCrashed;
    private long messages;
    private long bytes;

    GossipLimiter(VirtualTime time, Parameters parameters) {
        this.time = time;
        this.parameters = parameters;
        this.random = new SplittableRandom(parameters.seed());
        this.estimates = new TokenBucket[parameters.entries()][parameters.accounts()];
        this.unsentAdmissions = new int[parameters.entries()][parameters.accounts()];
        this.isCrashed = new boolean[parameters.entries()];
        for (int entry = 0; entry < parameters.entries(); entry++) {
            int sender = entry;
            for (int account = 0; account < parameters.accounts(); account++) {
                estimates[entry][account] = new TokenBucket(parameters.rate(), parameters.burst(), parameters.burst());
            }
            time.runEvery(
                    GOSSIP_INTERVAL_MILLIS, 1 + random.nextLong(GOSSIP_INTERVAL_MILLIS), () -> sendAdmissions(sender));
        }
    }

    private void sendAdmissions(int sender) {
        for (int account = 0; account < parameters.accounts(); account++) {
            int admitted = unsentAdmissions[sender][account];
            unsentAdmissions[sender][account] = 0;
            if (admitted > 0 && !isCrashed[sender]) {
                sendToOthers(sender, account, admitted);
            }
        }
    }

    private void sendToOthers(int sender, int account, int admitted) {
        for (int entry = 0; entry < parameters.entries(); entry++) {
            int receiver = entry;
            if (receiver != sender) {
                messages++;
                bytes += HEADER_BYTES + ACCOUNT_BYTES;
                time.runAfter(
                        1L + random.nextInt(2),
                        () -> estimates[receiver][account].takeUnconditionally(time.now(), admitted));
            }
        }
    }

    @Override
    public void request(int entry, int account, Consumer<Boolean> admitted) {
        boolean taken = estimates[entry][account].tryTake(time.now());
        if (taken) {
            unsentAdmissions[entry][account]++;
        }
        admitted.accept(taken);
    }

    @Override
    public int crash() {
        isCrashed[0] = true;
        return 0;
    }

    @Override
    public Cost cost() {
        return new Cost(messages, bytes, 0);
    }
}
