package org.quetzalshunt.core.limit;

import static org.quetzalshunt.core.limit.LimitMessage.ALL_PARTS;

import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.quetzalshunt.core.limit.LimitMessage.Request;
import org.quetzalshunt.core.limit.LimitMessage.Transfer;
import org.quetzalshunt.core.limit.LimitMessage.TransferAcknowledgement;
import org.quetzalshunt.core.membership.Rendezvous;
import org.quetzalshunt.core.vm.VmId;

/** Moves parts between this entry and others: what is asked for, what is of no use here, and everything at a stop. */
final class PartMover {
    /** An account without traffic for this time gives its part back to its home, where the next entry looks first. */
    private static final long IDLE_MILLIS = 5_000;

    /** Idle accounts are looked for this often. */
    private static final long IDLE_SWEEP_MILLIS = 1_000;

    /** An entry that holds this much is the only one with traffic, and keeps it. */
    private static final long NEARLY_ALL_PARTS = ALL_PARTS * 15 / 16;

    /** The part of a hand-over that may be lost to a VM that does not answer. */
    private static final int FIRST_SLICE_DIVISOR = 16;

    private final VmId self;
    private final Lease lease;
    private final TokenFetcher fetcher;
    private final BiConsumer<VmId, LimitMessage> sender;
    private final TransferLedger ledger = new TransferLedger();
    private Generation generation = Generation.none();
    private long nextIdleSweepMillis = Long.MIN_VALUE;
    private long brokenPromises;
    private boolean leaving;

    PartMover(VmId self, Lease lease, TokenFetcher fetcher, BiConsumer<VmId, LimitMessage> sender) {
        this.self = self;
        this.lease = lease;
        this.fetcher = fetcher;
        this.sender = sender;
    }

    /** Transfers of the former generation are void on both sides, so nothing of them is kept. */
    void onGeneration(Generation next) {
        generation = next;
        ledger.clear();
    }

    /** Gives an asker what this entry can do without; a home passes on what is still wanted. */
    void onRequest(long nowMillis, Bucket bucket, Request request) {
        long given = 0;
        if (lease.holds(nowMillis)) {
            Sharing.Gift gift = request.passedOn()
                    ? Sharing.ofHolder(nowMillis, bucket, request)
                    : Sharing.ofHome(nowMillis, bucket, request);
            give(nowMillis, bucket, request.asker(), gift);
            given = gift.microTokens();
        }
        if (!request.passedOn()) {
            fetcher.passOn(nowMillis, bucket, request, given);
            bucket.holders.note(nowMillis, request.asker(), request.demandMilliTokens());
        }
    }

    private void give(long nowMillis, Bucket bucket, VmId to, Sharing.Gift gift) {
        if (gift.parts() == 0) {
            return;
        }
        bucket.moved = true;
        bucket.remove(nowMillis, gift.parts(), gift.microTokens());
        sender.accept(to, ledger.send(nowMillis, to, generation.offset, bucket.key, gift.parts(), gift.microTokens()));
    }

    /** Takes in a transfer, once, and acknowledges every copy. */
    void onTransfer(long nowMillis, VmId from, Bucket bucket, Transfer transfer) {
        sender.accept(from, new TransferAcknowledgement(transfer.generation(), transfer.transfer()));
        if (ledger.receive(from, transfer)) {
            bucket.moved = true;
            add(nowMillis, bucket, transfer.parts(), transfer.microTokens());
        }
    }

    void onAcknowledgement(long nowMillis, VmId by, long transfer) {
        ledger.acknowledged(nowMillis, by, transfer);
    }

    void repeat(long nowMillis) {
        ledger.repeat(nowMillis, sender::accept);
    }

    /** Adds parts to a row, and counts it as a broken promise if they come to more than there are. */
    void add(long nowMillis, Bucket bucket, long parts, long microTokens) {
        if (bucket.parts() + parts > ALL_PARTS) {
            brokenPromises++;
        }
        bucket.add(nowMillis, parts, microTokens);
    }

    /** Brings back to the home what is of no use here, so that another entry finds it there. */
    void bringBack(long nowMillis, Bucket bucket) {
        if (bucket.parts() == 0 || bucket.parts() >= NEARLY_ALL_PARTS) {
            return;
        }
        bucket.accrue(nowMillis);
        // A piece without room for one token runs full and never serves the requests that wait for it.
        boolean hopeless = bucket.isFull() && !bucket.hasToken();
        if (!bucket.waiting.isEmpty() && !hopeless) {
            return;
        }
        Sharing.Gift surplus = Sharing.surplus(nowMillis, bucket);
        if (surplus.parts() > 0 && lease.holds(nowMillis)) {
            heir(bucket.key).ifPresent(vm -> handTo(nowMillis, bucket, vm, surplus));
        }
    }

    /**
     * Hands over what nobody asked for. Guards against parts handed to a home that has just died, which would show as
     * refusals far beyond the dead entry's own share until the next generation: all of it goes only to a VM that
     * acknowledged something of late; to another a small part goes first.
     */
    private void handTo(long nowMillis, Bucket bucket, VmId heir, Sharing.Gift gift) {
        if (leaving || ledger.isResponsive(nowMillis, heir)) {
            give(nowMillis, bucket, heir, gift);
            return;
        }
        long parts = gift.parts() / FIRST_SLICE_DIVISOR;
        if (!ledger.isPending(heir) && parts > 0) {
            long tokens = Math.min(gift.microTokens() / FIRST_SLICE_DIVISOR, bucket.capacityOf(parts));
            give(nowMillis, bucket, heir, new Sharing.Gift(parts, tokens));
        }
    }

    boolean isHome(AccountKey key) {
        return generation.home(key).filter(self::equals).isPresent();
    }

    /** Gives the parts of idle accounts to their homes; a leaving entry gives all parts to whoever stays. */
    void sweepIdle(long nowMillis, List<Bucket> rows) {
        if (!leaving && nowMillis < nextIdleSweepMillis) {
            return;
        }
        nextIdleSweepMillis = nowMillis + IDLE_SWEEP_MILLIS;
        if (!generation.contains(self) || !lease.holds(nowMillis)) {
            return;
        }
        for (Bucket bucket : rows) {
            boolean idle = leaving || nowMillis - bucket.lastTakeMillis >= IDLE_MILLIS;
            if (idle && bucket.parts() > 0 && bucket.waiting.isEmpty()) {
                bucket.accrue(nowMillis);
                Sharing.Gift all = new Sharing.Gift(bucket.parts(), bucket.level());
                heir(bucket.key).ifPresent(vm -> handTo(nowMillis, bucket, vm, all));
            }
        }
    }

    /** Who keeps what is not used here: the account's home; for a leaving home, any live member. */
    private Optional<VmId> heir(AccountKey key) {
        Optional<VmId> home = generation.home(key);
        if (isHome(key) && !leaving) {
            return Optional.empty();
        }
        if (!isHome(key) && home.filter(fetcher::isAlive).isPresent()) {
            return home;
        }
        List<VmId> live = generation.record.members().stream()
                .filter(vm -> !vm.equals(self) && fetcher.isAlive(vm))
                .toList();
        return Rendezvous.winner(key.hashText(), live.stream().map(VmId::name).toList())
                .flatMap(name ->
                        live.stream().filter(vm -> vm.name().equals(name)).findFirst());
    }

    void leave() {
        leaving = true;
    }

    boolean isLeaving() {
        return leaving;
    }

    int pendingTransfers() {
        return ledger.pending();
    }

    long pendingParts(AccountKey key) {
        return ledger.pendingParts(key);
    }

    long brokenPromises() {
        return brokenPromises;
    }
}
