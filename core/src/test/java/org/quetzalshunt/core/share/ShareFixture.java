package org.quetzalshunt.core.share;

import java.util.Map;

/** One VM's shares of a service that is short of slots, in virtual time; all quotas have the same rate. */
final class ShareFixture {
    static final String SERVICE = "s";
    private static final long STEP_MILLIS = 50;

    final AccountShares shares = AccountShares.create(account -> 1, 1);
    final int slots;
    long now = 1_000;

    ShareFixture(int slots) {
        this.slots = slots;
        setShort(true);
    }

    void setShort(boolean isShort) {
        shares.setService(now, SERVICE, slots, isShort);
    }

    void start(String account, int requests) {
        for (int i = 0; i < requests; i++) {
            shares.started(now, SERVICE, account);
        }
    }

    void finish(String account, int requests) {
        for (int i = 0; i < requests; i++) {
            shares.finished(now, SERVICE, account);
        }
    }

    void advance(long millis) {
        for (long end = now + millis; now < end; now += Math.min(STEP_MILLIS, end - now)) {
            shares.isShort(now, SERVICE);
        }
    }

    void report(String vm, Map<String, Double> use) {
        shares.onPeerReport(now, vm, Map.of(SERVICE, use));
    }

    double slotsOf(String account) {
        return shares.account(now, SERVICE, account).slots();
    }

    boolean isAboveShare(String account) {
        return shares.isAboveShare(now, SERVICE, account);
    }
}
