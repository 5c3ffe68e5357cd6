package org.quetzalshunt.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.ObjIntConsumer;

/**
 * The shares of accounts' quotas that this VM holds under its lease. Each account has a primary and a secondary owner
 * ({@link ShareAllocation}); an owner acquires its share by a compare-and-append on the account's own log, so that VMs that
 * acquire different accounts do not conflict, and the shares in force of one account never exceed the whole. Renewal is
 * the VM's heartbeat and needs no condition ({@link VmLease}).
 *
 * <p>Load pattern: all VMs return at once, after a restart of the fleet or an outage of the store. Each acquires a handful of
 * accounts, in two round trips and side by side.
 */
public final class QuotaLeases {
    /** The whole of an account's rate and burst. */
    public static final int ALL_PARTS = ShareAllocation.ALL_PARTS;

    /** Conflicts in a row before the next round is waited for. */
    private static final int MOST_TRIES = 6;

    private static final class Holding {
        /** As last acknowledged by the store. */
        QuotaShare share;

        TokenBucket bucket;
        /** Parts in use: fewer than recorded while some are being given up. */
        int parts;

        boolean acquiring;
        int tries;
    }

    private final String self;
    private final LongSupplier clock;
    private final PeerTable peers;
    private final VmLease lease;
    private final ShareStore store;
    private final ObjIntConsumer<String> listener;
    private final ShareAllocation allocation;
    private final Map<String, Holding> holdings = new HashMap<>();
    private final long createdMillis;
    private Map<String, QuotaTerms> accounts = Map.of();
    private long sequence;

    private QuotaLeases(
            String self,
            LongSupplier clock,
            PeerTable peers,
            VmLease lease,
            ShareStore store,
            ObjIntConsumer<String> listener) {
        this.self = self;
        this.clock = clock;
        this.peers = peers;
        this.lease = lease;
        this.store = store;
        this.listener = listener;
        this.allocation = ShareAllocation.create(self);
        this.createdMillis = clock.getAsLong();
    }

    /**
     * Makes leases on nothing.
     *
     * @param clock monotonic milliseconds
     * @param listener receives the account and parts of each share that comes into force
     */
    public static QuotaLeases create(
            String self,
            LongSupplier clock,
            PeerTable peers,
            VmLease lease,
            ShareStore store,
            ObjIntConsumer<String> listener) {
        return new QuotaLeases(self, clock, peers, lease, store, listener);
    }

    /** Puts the accounts' quotas in force. */
    public void setAccounts(Map<String, QuotaTerms> quotas) {
        accounts = Map.copyOf(quotas);
        holdings.forEach((account, holding) -> applyTerms(account, holding));
    }

    /** Acquires or gives up shares where this VM's ownership has changed. To be called after each read of heartbeats. */
    public void settle() {
        List<String> members = new ArrayList<>(peers.members().keySet());
        members.add(self);
        members.sort(null);
        allocation.setMembers(members);
        if (!lease.inForce(clock.getAsLong())) {
            return;
        }
        accounts.forEach((account, quota) -> {
            boolean owner = allocation.target(account, quota.burst()) > 0;
            if (owner || holdings.containsKey(account)) {
                settle(account, holdings.computeIfAbsent(account, ignored -> new Holding()));
            }
        });
    }

    private void settle(String account, Holding holding) {
        if (holding.acquiring || isSettled(account)) {
            return;
        }
        holding.acquiring = true;
        holding.tries = 0;
        read(account, holding);
    }

    private int target(String account) {
        QuotaTerms quota = accounts.get(account);
        return quota == null ? 0 : allocation.target(account, quota.burst());
    }

    private void read(String account, Holding holding) {
        store.read(account, page -> {
            if (page.isEmpty()) {
                holding.acquiring = false;
                return;
            }
            acquire(account, holding, page.get());
        });
    }

    private void acquire(String account, Holding holding, ShareStore.Page page) {
        long now = clock.getAsLong();
        LeaseTerm term = lease.term(now);
        if (!lease.inForce(now)) {
            holding.acquiring = false;
            return;
        }
        int taken = 0;
        int lapsed = 0;
        Map<String, Optional<QuotaShare>> changes = new HashMap<>();
        for (Map.Entry<String, QuotaShare> entry : page.shares().entrySet()) {
            if (entry.getKey().equals(self)) {
                continue;
            }
            if (peers.mayBeInForce(now, entry.getKey(), entry.getValue().term())) {
                taken += entry.getValue().parts();
            } else {
                lapsed += entry.getValue().parts();
                changes.put(entry.getKey(), Optional.empty());
            }
        }
        int parts = Math.max(0, Math.min(target(account), ALL_PARTS - taken));
        Optional<QuotaShare> former = Optional.ofNullable(page.shares().get(self));
        if (parts == parts(account) && parts == recordedParts(former, term)) {
            holding.acquiring = false;
            return;
        }
        if (parts <= ALL_PARTS - taken - lapsed) {
            // Nothing is taken over, so the lapsed records stay as their holders' proof (see bucket()).
            changes.clear();
        }
        if (parts < parts(account)) {
            // What is given up must not be used from here on, whatever becomes of the write.
            holding.parts = parts;
            applyTerms(account, holding);
        }
        QuotaShare share = new QuotaShare(term, ++sequence, parts);
        changes.put(self, Optional.of(share));
        store.write(account, changes, page.end(), result -> written(account, holding, former, share, result));
    }

    private void written(
            String account,
            Holding holding,
            Optional<QuotaShare> former,
            QuotaShare share,
            ShareStore.WriteResult result) {
        if (result == ShareStore.WriteResult.CONFLICT && ++holding.tries < MOST_TRIES) {
            read(account, holding);
            return;
        }
        holding.acquiring = false;
        if (result == ShareStore.WriteResult.WRITTEN && share.term().equals(lease.term(clock.getAsLong()))) {
            hold(account, holding, former, share);
        }
    }

    private void hold(String account, Holding holding, Optional<QuotaShare> former, QuotaShare share) {
        holding.bucket = bucket(account, holding, former, share);
        holding.share = share;
        holding.parts = share.parts();
        applyTerms(account, holding);
        listener.accept(account, share.parts());
    }

    /**
     * The bucket of a share that was acquired. Whoever takes over the share of a lapsed lease removes its record, so a
     * record that is still there proves that nobody else has spent what it stands for: a VM that comes back from an outage
     * goes on with its bucket, and a new process counts what its share has earned since the process began.
     */
    private TokenBucket bucket(String account, Holding holding, Optional<QuotaShare> former, QuotaShare share) {
        if (holding.share == null) {
            return former.map(record -> bucketSinceStart(account, Math.min(record.parts(), share.parts())))
                    .orElseGet(() -> TokenBucket.create(clock.getAsLong()));
        }
        boolean uninterrupted = share.term().equals(holding.share.term()) || former.equals(Optional.of(holding.share));
        return uninterrupted ? holding.bucket : TokenBucket.create(clock.getAsLong());
    }

    private TokenBucket bucketSinceStart(String account, int parts) {
        TokenBucket bucket = TokenBucket.create(createdMillis);
        limit(account, bucket, createdMillis, parts);
        return bucket;
    }

    private void applyTerms(String account, Holding holding) {
        if (holding.bucket != null) {
            limit(account, holding.bucket, clock.getAsLong(), holding.parts);
        }
    }

    private void limit(String account, TokenBucket bucket, long nowMillis, int parts) {
        QuotaTerms quota = accounts.get(account);
        if (quota != null) {
            double part = parts / (double) ALL_PARTS;
            bucket.limit(nowMillis, quota.ratePerSecond() * part, quota.burst() * part);
        }
    }

    /** Parts of an account that this VM may use now. */
    public int parts(String account) {
        Holding holding = holdings.get(account);
        long now = clock.getAsLong();
        boolean held = holding != null && holding.share != null && lease.inForce(now);
        return held && lease.term(now).equals(holding.share.term()) ? holding.parts : 0;
    }

    /** Takes a token from this VM's share, which may still have to be earned. */
    public TokenOffer reserve(String account, long maximumWaitMillis) {
        if (parts(account) == 0) {
            return TokenOffer.NONE;
        }
        return holdings.get(account).bucket.reserve(clock.getAsLong(), maximumWaitMillis);
    }

    /** The VMs to ask for a token of the account, in this order; this VM may be one of them. */
    public List<String> candidates(String account) {
        return allocation.candidates(account);
    }

    /** Whether this VM holds all that it should own. */
    public boolean settled() {
        return lease.inForce(clock.getAsLong()) && accounts.keySet().stream().allMatch(this::isSettled);
    }

    /** Whether this VM uses the share that it should own, and the store's record agrees. */
    private boolean isSettled(String account) {
        Holding holding = holdings.get(account);
        int target = target(account);
        if (holding == null) {
            return target == 0;
        }
        LeaseTerm term = lease.term(clock.getAsLong());
        return parts(account) == target && recordedParts(Optional.ofNullable(holding.share), term) == target;
    }

    private static int recordedParts(Optional<QuotaShare> share, LeaseTerm term) {
        return share.filter(recorded -> recorded.term().equals(term))
                .map(QuotaShare::parts)
                .orElse(0);
    }
}
