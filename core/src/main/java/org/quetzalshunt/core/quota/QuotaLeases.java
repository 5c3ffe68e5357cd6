package org.quetzalshunt.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.ObjIntConsumer;

/**
 * Acquires, holds and releases this VM's shares of accounts' quotas under its lease. Each account has a primary and a
 * secondary owner ({@link ShareAllocation}). An owner acquires its share by a compare-and-append on the account's own
 * log, so VMs that acquire different accounts do not conflict, and the shares in force of one account never exceed the
 * whole. The VM's heartbeat renews all of its shares without a compare ({@link VmLease}).
 *
 * <p>Load pattern: all VMs return at once, after a restart of the fleet or an outage of the store. Each acquires a
 * small number of accounts, in two round trips, all accounts in parallel.
 */
public final class QuotaLeases {
    /** Number of parts that make up the whole of an account's rate and burst. */
    public static final int ALL_PARTS = ShareAllocation.ALL_PARTS;

    /** Consecutive conflicting writes after which the acquisition is deferred to the next read of heartbeats. */
    private static final int MAXIMUM_ATTEMPTS = 6;

    private static final class Holding {
        /** Share as last acknowledged by the store. */
        QuotaShare share;

        TokenBucket bucket;
        /** Parts in use. Fewer than recorded while a reduction of the share is being written. */
        int parts;

        boolean acquiring;
        int attempts;
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
     * Creates leases that hold no share.
     *
     * @param clock monotonic milliseconds
     * @param listener receives the account and the number of parts of each share that comes into force
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

    /** Replaces the quotas of all accounts and applies them to the shares held. */
    public void setAccounts(Map<String, QuotaTerms> quotas) {
        accounts = Map.copyOf(quotas);
        holdings.forEach((account, holding) -> applyTerms(account, holding));
    }

    /**
     * Starts to acquire or release shares where this VM's ownership has changed. Must be called after each read of
     * heartbeats.
     */
    public void reconcile() {
        List<String> members = new ArrayList<>(peers.members().keySet());
        members.add(self);
        members.sort(null);
        allocation.setMembers(members);
        if (!lease.inForce(clock.getAsLong())) {
            return;
        }
        accounts.forEach((account, quota) -> {
            boolean owner = allocation.targetParts(account, quota.burst()) > 0;
            if (owner || holdings.containsKey(account)) {
                reconcile(account, holdings.computeIfAbsent(account, ignored -> new Holding()));
            }
        });
    }

    private void reconcile(String account, Holding holding) {
        if (holding.acquiring || isSettled(account)) {
            return;
        }
        holding.acquiring = true;
        holding.attempts = 0;
        readShares(account, holding);
    }

    private int targetParts(String account) {
        QuotaTerms quota = accounts.get(account);
        return quota == null ? 0 : allocation.targetParts(account, quota.burst());
    }

    private void readShares(String account, Holding holding) {
        store.read(account, page -> {
            if (page.isEmpty()) {
                holding.acquiring = false;
                return;
            }
            writeShare(account, holding, page.get());
        });
    }

    private void writeShare(String account, Holding holding, ShareStore.Page page) {
        long now = clock.getAsLong();
        LeaseTerm term = lease.term(now);
        if (!lease.inForce(now)) {
            holding.acquiring = false;
            return;
        }
        int partsHeldByPeers = 0;
        int expiredParts = 0;
        Map<String, Optional<QuotaShare>> changes = new HashMap<>();
        for (Map.Entry<String, QuotaShare> entry : page.shares().entrySet()) {
            if (entry.getKey().equals(self)) {
                continue;
            }
            if (peers.mayBeInForce(now, entry.getKey(), entry.getValue().term())) {
                partsHeldByPeers += entry.getValue().parts();
            } else {
                expiredParts += entry.getValue().parts();
                changes.put(entry.getKey(), Optional.empty());
            }
        }
        int parts = Math.max(0, Math.min(targetParts(account), ALL_PARTS - partsHeldByPeers));
        Optional<QuotaShare> previousRecord = Optional.ofNullable(page.shares().get(self));
        if (parts == parts(account) && parts == recordedParts(previousRecord, term)) {
            holding.acquiring = false;
            return;
        }
        if (parts <= ALL_PARTS - partsHeldByPeers - expiredParts) {
            // No expired share is taken over, so the expired records stay: each proves to its holder that no other VM
            // has spent the share's tokens (see bucketFor()).
            changes.clear();
        }
        if (parts < parts(account)) {
            // Released parts must not be used from here on, even if the result of the write is unknown.
            holding.parts = parts;
            applyTerms(account, holding);
        }
        QuotaShare share = new QuotaShare(term, ++sequence, parts);
        changes.put(self, Optional.of(share));
        store.write(account, changes, page.end(), result -> onWritten(account, holding, previousRecord, share, result));
    }

    private void onWritten(
            String account,
            Holding holding,
            Optional<QuotaShare> previousRecord,
            QuotaShare share,
            ShareStore.WriteResult result) {
        if (result == ShareStore.WriteResult.CONFLICT && ++holding.attempts < MAXIMUM_ATTEMPTS) {
            readShares(account, holding);
            return;
        }
        holding.acquiring = false;
        if (result == ShareStore.WriteResult.WRITTEN && share.term().equals(lease.term(clock.getAsLong()))) {
            activate(account, holding, previousRecord, share);
        }
    }

    private void activate(String account, Holding holding, Optional<QuotaShare> previousRecord, QuotaShare share) {
        holding.bucket = bucketFor(account, holding, previousRecord, share);
        holding.share = share;
        holding.parts = share.parts();
        applyTerms(account, holding);
        listener.accept(account, share.parts());
    }

    /**
     * Returns the bucket for a share that was just acquired. A VM that takes over the share of an expired lease removes
     * its record. A record that still exists therefore proves that no other VM has spent its tokens: a VM that recovers
     * from an outage keeps its bucket, and a restarted process is credited with what its share has earned since the
     * process started.
     */
    private TokenBucket bucketFor(
            String account, Holding holding, Optional<QuotaShare> previousRecord, QuotaShare share) {
        if (holding.share == null) {
            return previousRecord
                    .map(record -> bucketSinceStart(account, Math.min(record.parts(), share.parts())))
                    .orElseGet(() -> TokenBucket.create(clock.getAsLong()));
        }
        boolean uninterrupted =
                share.term().equals(holding.share.term()) || previousRecord.equals(Optional.of(holding.share));
        return uninterrupted ? holding.bucket : TokenBucket.create(clock.getAsLong());
    }

    private TokenBucket bucketSinceStart(String account, int parts) {
        TokenBucket bucket = TokenBucket.create(createdMillis);
        applyLimits(account, bucket, createdMillis, parts);
        return bucket;
    }

    private void applyTerms(String account, Holding holding) {
        if (holding.bucket != null) {
            applyLimits(account, holding.bucket, clock.getAsLong(), holding.parts);
        }
    }

    private void applyLimits(String account, TokenBucket bucket, long nowMillis, int parts) {
        QuotaTerms quota = accounts.get(account);
        if (quota != null) {
            double part = parts / (double) ALL_PARTS;
            bucket.setLimits(nowMillis, quota.ratePerSecond() * part, quota.burst() * part);
        }
    }

    /** Number of parts of an account that this VM may use now. */
    public int parts(String account) {
        Holding holding = holdings.get(account);
        long now = clock.getAsLong();
        boolean held = holding != null && holding.share != null && lease.inForce(now);
        return held && lease.term(now).equals(holding.share.term()) ? holding.parts : 0;
    }

    /** Takes a token from this VM's share, possibly one that is only earned within the maximum wait. */
    public TokenOffer reserve(String account, long maximumWaitMillis) {
        if (parts(account) == 0) {
            return TokenOffer.NONE;
        }
        return holdings.get(account).bucket.reserve(clock.getAsLong(), maximumWaitMillis);
    }

    /** The tokens of the share of an account that this VM may use now; empty if it holds none. */
    public Optional<TokenBucket> share(String account) {
        return parts(account) == 0 ? Optional.empty() : Optional.of(holdings.get(account).bucket);
    }

    /** The VMs to ask for a token of the account, in this order. This VM may be one of them. */
    public List<String> candidates(String account) {
        return allocation.candidates(account);
    }

    /** Whether this VM's lease is in force and it holds exactly the shares that it should own. */
    public boolean isSettled() {
        return lease.inForce(clock.getAsLong()) && accounts.keySet().stream().allMatch(this::isSettled);
    }

    /** Whether this VM uses exactly the share that it should own, and the store's record agrees. */
    private boolean isSettled(String account) {
        Holding holding = holdings.get(account);
        int target = targetParts(account);
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
