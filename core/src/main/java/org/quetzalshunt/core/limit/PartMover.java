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

/**
 * Transfers parts of the accounts' rates and bursts between this VM and other entries: on request, when they are not
 * needed here, and all of them in a graceful shutdown.
 */
final class PartMover {
    /**
     * Time without traffic after which an account's parts are returned to its home, to which other entries send their
     * requests.
     */
    private static final long IDLE_MILLIS = 5_000;

    /** Interval of the search for idle accounts. */
    private static final long IDLE_SWEEP_MILLIS = 1_000;

    /**
     * An entry with at least this many parts of an account returns no surplus, since the other entries have almost no
     * traffic of the account.
     */
    private static final long NEARLY_ALL_PARTS = ALL_PARTS * 15 / 16;

    /**
     * A VM that has not acknowledged a transfer recently first gets the parts divided by this number, which limits the
     * loss if it has crashed.
     */
    private static final int PROBE_DIVISOR = 16;

    private final VmId self;
    private final Lease lease;
    private final TokenFetcher fetcher;
    private final BiConsumer<VmId, LimitMessage> sender;
    private final TransferLedger ledger = new TransferLedger();
    private Generation generation = Generation.none();
    private long nextIdleSweepMillis = Long.MIN_VALUE;
    private long invariantViolations;
    private boolean leaving;

    PartMover(VmId self, Lease lease, TokenFetcher fetcher, BiConsumer<VmId, LimitMessage> sender) {
        this.self = self;
        this.lease = lease;
        this.fetcher = fetcher;
        this.sender = sender;
    }

    /** Drops all transfers of the former generation, which are void at both sender and receiver. */
    void onGeneration(Generation next) {
        generation = next;
        ledger.clear();
    }

    /**
     * Transfers parts and tokens to the requester if the lease is valid. A request that came directly from the
     * requester is then forwarded to other holders for the remainder.
     */
    void onRequest(long nowMillis, Bucket bucket, Request request) {
        long sentMicroTokens = 0;
        if (lease.isValid(nowMillis)) {
            TransferPolicy.TransferAmount amount = request.forwarded()
                    ? TransferPolicy.fromHolder(nowMillis, bucket, request)
                    : TransferPolicy.fromHome(nowMillis, bucket, request);
            sendParts(nowMillis, bucket, request.requester(), amount);
            sentMicroTokens = amount.microTokens();
        }
        if (!request.forwarded()) {
            fetcher.forward(nowMillis, bucket, request, sentMicroTokens);
            bucket.holderHints.recordHolder(nowMillis, request.requester(), request.demandMilliTokens());
        }
    }

    private void sendParts(long nowMillis, Bucket bucket, VmId to, TransferPolicy.TransferAmount amount) {
        if (amount.parts() == 0) {
            return;
        }
        bucket.partsMoved = true;
        bucket.removeParts(nowMillis, amount.parts(), amount.microTokens());
        sender.accept(
                to, ledger.send(nowMillis, to, generation.offset, bucket.key, amount.parts(), amount.microTokens()));
    }

    /** Applies a transfer unless it is a duplicate, and acknowledges every copy. */
    void onTransfer(long nowMillis, VmId from, Bucket bucket, Transfer transfer) {
        sender.accept(from, new TransferAcknowledgement(transfer.generation(), transfer.transfer()));
        if (ledger.receive(from, transfer)) {
            bucket.partsMoved = true;
            addParts(nowMillis, bucket, transfer.parts(), transfer.microTokens());
        }
    }

    void onAcknowledgement(long nowMillis, VmId by, long transfer) {
        ledger.onAcknowledgement(nowMillis, by, transfer);
    }

    void retransmit(long nowMillis) {
        ledger.retransmit(nowMillis, sender::accept);
    }

    /** Adds parts to a bucket, even if the sum exceeds {@link LimitMessage#ALL_PARTS}, which counts as a violation. */
    void addParts(long nowMillis, Bucket bucket, long parts, long microTokens) {
        if (bucket.parts() + parts > ALL_PARTS) {
            invariantViolations++;
        }
        bucket.addParts(nowMillis, parts, microTokens);
    }

    /** Transfers surplus parts to the VM from which other entries can request them, usually the home. */
    void returnSurplus(long nowMillis, Bucket bucket) {
        if (bucket.parts() == 0 || bucket.parts() >= NEARLY_ALL_PARTS) {
            return;
        }
        bucket.accrue(nowMillis);
        // A bucket with a capacity below one token fills up but can never serve a waiting request.
        boolean canNeverServe = bucket.isFull() && !bucket.hasToken();
        if (!bucket.waiting.isEmpty() && !canNeverServe) {
            return;
        }
        TransferPolicy.TransferAmount surplus = TransferPolicy.surplus(nowMillis, bucket);
        if (surplus.parts() > 0 && lease.isValid(nowMillis)) {
            recipient(bucket.key).ifPresent(vm -> sendUnrequested(nowMillis, bucket, vm, surplus));
        }
    }

    /**
     * Transfers parts that were not requested. Unless this entry is shutting down, a recipient that has not
     * acknowledged a transfer recently gets only a small fraction, and nothing while a transfer to it is pending.
     * Otherwise, all parts sent to a home that has just crashed would be lost until the next generation, which would
     * cause refusals far beyond the crashed entry's own share.
     */
    private void sendUnrequested(long nowMillis, Bucket bucket, VmId recipient, TransferPolicy.TransferAmount amount) {
        if (leaving || ledger.isResponsive(nowMillis, recipient)) {
            sendParts(nowMillis, bucket, recipient, amount);
            return;
        }
        long parts = amount.parts() / PROBE_DIVISOR;
        if (!ledger.isPending(recipient) && parts > 0) {
            long tokens = Math.min(amount.microTokens() / PROBE_DIVISOR, bucket.capacityOf(parts));
            sendParts(nowMillis, bucket, recipient, new TransferPolicy.TransferAmount(parts, tokens));
        }
    }

    boolean isHome(AccountKey key) {
        return generation.home(key).filter(self::equals).isPresent();
    }

    /**
     * Returns the parts of idle accounts to their homes, if the lease is valid. While this entry is shutting down,
     * every account without waiting requests counts as idle.
     */
    void sweepIdle(long nowMillis, List<Bucket> buckets) {
        if (!leaving && nowMillis < nextIdleSweepMillis) {
            return;
        }
        nextIdleSweepMillis = nowMillis + IDLE_SWEEP_MILLIS;
        if (!generation.contains(self) || !lease.isValid(nowMillis)) {
            return;
        }
        for (Bucket bucket : buckets) {
            boolean idle = leaving || nowMillis - bucket.lastTakeMillis >= IDLE_MILLIS;
            if (idle && bucket.parts() > 0 && bucket.waiting.isEmpty()) {
                bucket.accrue(nowMillis);
                TransferPolicy.TransferAmount everything =
                        new TransferPolicy.TransferAmount(bucket.parts(), bucket.level());
                recipient(bucket.key).ifPresent(vm -> sendUnrequested(nowMillis, bucket, vm, everything));
            }
        }
    }

    /**
     * The VM that receives unneeded parts: the account's home or, if the home is unavailable or is this VM, a live
     * member chosen by rendezvous hashing. Empty if this VM is the home and is not shutting down.
     */
    private Optional<VmId> recipient(AccountKey key) {
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
        return Rendezvous.winner(key.hashKey(), live.stream().map(VmId::name).toList())
                .flatMap(name ->
                        live.stream().filter(vm -> vm.name().equals(name)).findFirst());
    }

    void startLeaving() {
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

    long invariantViolations() {
        return invariantViolations;
    }
}
