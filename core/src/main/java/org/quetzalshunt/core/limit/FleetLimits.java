package org.quetzalshunt.core.limit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.quetzalshunt.core.limit.LimitMessage.CarryAcknowledgement;
import org.quetzalshunt.core.limit.LimitMessage.CarryReport;
import org.quetzalshunt.core.limit.LimitMessage.Holding;
import org.quetzalshunt.core.limit.LimitMessage.LeaseConfirmation;
import org.quetzalshunt.core.limit.LimitMessage.LeaseRequest;
import org.quetzalshunt.core.limit.LimitMessage.Request;
import org.quetzalshunt.core.limit.LimitMessage.Transfer;
import org.quetzalshunt.core.limit.LimitMessage.TransferAcknowledgement;
import org.quetzalshunt.core.membership.Member;
import org.quetzalshunt.core.vm.VmId;

/**
 * Enforces the rate and burst of every client account at one entry, by escrow: the parts held by all entries never sum
 * to more than the account's rate and burst.
 *
 * <p>Times are milliseconds of the caller's monotonic clock, which must continue while the process is paused. Not
 * thread-safe. {@link #tick} must be called every few milliseconds while requests wait, and a few times per second
 * otherwise.
 */
public final class FleetLimits {
    /** Retry delay for callers of an account that this entry has not read yet. */
    private static final long UNKNOWN_ACCOUNT_RETRY_MILLIS = 1_000;

    private final VmId self;
    private final LimitSettings settings;
    private final LimitPort port;
    private final BucketTable table = new BucketTable();
    /** Buckets with waiting requests, or with parts that may have to return to the account's home. */
    private final Set<Bucket> activeBuckets = new HashSet<>();

    private final Lease lease;
    private final CarryOver carryOver;
    private final GenerationProposer proposer;
    private final TokenFetcher fetcher;
    private final PartMover mover;
    private Generation generation = Generation.none();
    private long nextHandle = 1;

    private FleetLimits(VmId self, LimitSettings settings, LimitPort port) {
        this.self = self;
        this.settings = settings;
        this.port = port;
        this.lease = new Lease(self, settings);
        this.carryOver = new CarryOver(self, settings);
        this.proposer = new GenerationProposer(self, settings);
        this.fetcher = new TokenFetcher(self, this::send);
        this.mover = new PartMover(self, lease, fetcher, this::send);
    }

    /**
     * Creates the limits of an entry that has just started. It holds no parts until a generation names it as a member.
     */
    public static FleetLimits create(VmId self, LimitSettings settings, LimitPort port) {
        return new FleetLimits(self, settings, port);
    }

    /** Applies an account's rate and burst from a service document. An older version than the last one is ignored. */
    public void setLimits(
            long nowMillis, String service, String account, double requestsPerSecond, double burst, long version) {
        Bucket bucket = bucket(nowMillis, new AccountKey(service, account));
        if (version < bucket.version) {
            return;
        }
        boolean added = bucket.version == Long.MIN_VALUE;
        bucket.version = version;
        bucket.setLimits(nowMillis, requestsPerSecond, burst);
        if (added) {
            creditUnused(nowMillis, bucket);
        }
        serve(nowMillis, bucket);
    }

    /**
     * Removes an account. Its bucket stays with rate and burst zero, so that adding the account again cannot grant its
     * tokens twice.
     */
    public void removeAccount(long nowMillis, String service, String account, long version) {
        setLimits(nowMillis, service, account, 0, 0, version);
    }

    /** Takes one token for a request, or lets the request wait for one, at most for the wait of the settings. */
    public Take take(long nowMillis, String service, String account, Consumer<TakeOutcome> callback) {
        Optional<Bucket> known = table.find(new AccountKey(service, account));
        if (known.isEmpty()) {
            return new Take.Refused(UNKNOWN_ACCOUNT_RETRY_MILLIS);
        }
        Bucket bucket = known.get();
        bucket.accrue(nowMillis);
        bucket.demand.add(nowMillis);
        bucket.lastTakeMillis = nowMillis;
        serve(nowMillis, bucket);
        if (bucket.waiting.isEmpty() && bucket.hasToken() && mayUseParts(nowMillis)) {
            long takeSequence = bucket.take();
            fetcher.onServed(nowMillis);
            fetcher.fetch(nowMillis, bucket);
            return new Take.Taken(takeSequence);
        }
        if (bucket.waiting.size() >= bucket.waitingLimit(settings.waitMillis())) {
            bucket.refused++;
            return new Take.Refused(bucket.retryAfterMillis());
        }
        long handle = nextHandle++;
        bucket.waiting.add(new Waiter(handle, nowMillis + settings.waitMillis(), callback));
        activeBuckets.add(bucket);
        fetcher.fetch(nowMillis, bucket);
        return new Take.Waiting(handle);
    }

    /** Cancels the wait of a request whose caller has disconnected. Its callback is not called. */
    public void cancel(long handle) {
        for (Bucket bucket : activeBuckets) {
            if (bucket.waiting.removeIf(waiter -> waiter.handle() == handle)) {
                return;
            }
        }
    }

    /** Returns the token of a request that was refused later and certainly did not run. */
    public void giveBack(String service, String account, long takeSequence) {
        table.find(new AccountKey(service, account)).ifPresent(bucket -> bucket.giveBack(takeSequence));
    }

    /**
     * Returns the token of a refused request whose take sequence number is unknown. More tokens are discarded than with
     * a known number, so that none can count twice.
     */
    public void giveBack(String service, String account) {
        giveBack(service, account, Long.MIN_VALUE);
    }

    /** Handles a message of another entry. The sender's incarnation is the one that opened the connection. */
    public void onMessage(long nowMillis, VmId from, LimitMessage message) {
        if (message instanceof LeaseRequest request) {
            onLeaseRequest(from, request);
            return;
        }
        // A message of another generation is void. The parts that an older message moves were counted again for the
        // current generation. A newer message is retransmitted until this VM has read the newer generation.
        boolean current = message.generation() == generation.offset;
        if (!current || !generation.contains(self)) {
            return;
        }
        if (message instanceof LeaseConfirmation confirmation) {
            lease.onConfirmation(from, confirmation.sentMillis());
            serveAll(nowMillis);
        } else if (generation.contains(from)) {
            onMemberMessage(nowMillis, from, message);
        }
    }

    private void onMemberMessage(long nowMillis, VmId from, LimitMessage message) {
        if (message instanceof Request request) {
            onRequest(nowMillis, request);
        } else if (message instanceof Transfer transfer) {
            onTransfer(nowMillis, from, transfer);
        } else if (message instanceof TransferAcknowledgement acknowledgement) {
            mover.onAcknowledgement(nowMillis, from, acknowledgement.transfer());
        } else if (message instanceof CarryReport report) {
            onCarryReport(nowMillis, from, report);
        } else if (message instanceof CarryAcknowledgement) {
            carryOver.onAcknowledgement(from);
        }
    }

    private void onLeaseRequest(VmId from, LeaseRequest request) {
        boolean hasNoNewerGeneration = generation.offset <= request.generation();
        if (hasNoNewerGeneration) {
            send(from, new LeaseConfirmation(request.generation(), request.sentMillis()));
        }
    }

    private void onRequest(long nowMillis, Request request) {
        if (!generation.contains(request.requester()) || request.requester().equals(self)) {
            return;
        }
        Bucket bucket = bucket(nowMillis, request.key());
        bucket.accrue(nowMillis);
        serve(nowMillis, bucket);
        mover.onRequest(nowMillis, bucket, request);
    }

    private void onTransfer(long nowMillis, VmId from, Transfer transfer) {
        Bucket bucket = bucket(nowMillis, transfer.key());
        mover.onTransfer(nowMillis, from, bucket, transfer);
        activeBuckets.add(bucket);
        serve(nowMillis, bucket);
    }

    private void onCarryReport(long nowMillis, VmId from, CarryReport report) {
        send(from, new CarryAcknowledgement(report.generation()));
        carryOver.onReport(nowMillis, from, report);
        for (Holding holding : report.holdings()) {
            bucket(nowMillis, holding.key()).holderHints.recordHolder(nowMillis, from, 0);
        }
    }

    /**
     * Handles a generation record, in the order of the stream. A record that is not based on the current generation is
     * void.
     */
    public void onGeneration(long nowMillis, long offset, LimitGenerationRecord record) {
        if (offset > generation.offset && record.basedOnGeneration() == generation.offset) {
            enterGeneration(nowMillis, Generation.of(offset, record));
        }
    }

    /** Restores the generation of a checkpoint of the stream, with the offset that its record had. */
    public void restoreGeneration(long nowMillis, long offset, LimitGenerationRecord record) {
        if (offset > generation.offset) {
            enterGeneration(nowMillis, Generation.of(offset, record));
        }
    }

    private void enterGeneration(long nowMillis, Generation next) {
        // This VM's parts count only if it was a member of the generation directly before. If this VM missed a
        // generation, that one may have excluded it and granted its parts to others.
        boolean carriesOver = next.record.basedOnGeneration() == generation.offset
                && generation.contains(self)
                && next.contains(self);
        List<Holding> holdings = new ArrayList<>();
        for (Bucket bucket : table.buckets()) {
            if (!carriesOver) {
                bucket.clear(nowMillis);
            }
            bucket.holderHints.clear();
            if (bucket.parts() > 0) {
                holdings.add(new Holding(bucket.key, bucket.parts()));
            }
        }
        mover.onGeneration(next);
        generation = next;
        lease.onGeneration(next.members);
        fetcher.onGeneration(next);
        proposer.onGeneration(nowMillis, next);
        carryOver.start(nowMillis, next, carriesOver, holdings, this::send);
        tick(nowMillis);
    }

    /** Updates the view of the membership. */
    public void membersChanged(long nowMillis, List<Member> members) {
        Set<VmId> live = new HashSet<>();
        Set<VmId> listed = new HashSet<>();
        listed.add(self);
        for (Member member : members) {
            listed.add(member.id().name().equals(self.name()) ? self : member.id());
            if (member.alive()) {
                live.add(member.id());
            }
        }
        live.add(self);
        lease.onListed(listed);
        fetcher.onLiveMembers(live);
        proposer.onMembers(nowMillis, members);
    }

    /**
     * Records that the configuration stream was read to its end, and every record of that read was processed.
     *
     * @param sentMillis local time at which the read was sent, not that of its answer
     */
    public void onLogRead(long nowMillis, long sentMillis) {
        lease.onLogRead(sentMillis);
        serveAll(nowMillis);
    }

    /**
     * Performs what is due: serves and refuses waiting requests, retransmits unanswered messages and proposes
     * generations.
     */
    public void tick(long nowMillis) {
        if (generation.contains(self)) {
            lease.tick(nowMillis, generation.offset, this::send);
            carryOver.tick(nowMillis, this::send);
            mover.retransmit(nowMillis);
            if (carryOver.pollDue(nowMillis)) {
                table.buckets().forEach(bucket -> grantUnheld(nowMillis, bucket));
            }
        }
        if (!mover.isLeaving()) {
            proposer.tick(nowMillis, port::appendGeneration);
        }
        serveAll(nowMillis);
        mover.sweepIdle(nowMillis, table.buckets());
    }

    private void grantUnheld(long nowMillis, Bucket bucket) {
        long unheldParts = carryOver.claimUnheldParts(nowMillis, bucket.key);
        if (unheldParts > 0) {
            mover.addParts(nowMillis, bucket, unheldParts, 0);
            if (generation.record.isFirst()) {
                bucket.fillToCapacity();
            }
            serve(nowMillis, bucket);
        }
    }

    /**
     * Credits a new account with the tokens that its parts would have earned since they were granted, since no request
     * can have used one of them. In a deployment's very first generation that is a full bucket. Parts granted later
     * start empty, since their former holder may just have used a full burst.
     */
    private void creditUnused(long nowMillis, Bucket bucket) {
        if (bucket.partsMoved) {
            return;
        }
        if (generation.record.isFirst()) {
            bucket.fillToCapacity();
        } else {
            bucket.earnFor(nowMillis - carryOver.grantableSinceMillis(nowMillis));
        }
    }

    /** Starts a graceful shutdown: every part goes to live peers, including parts that arrive later. */
    public void startLeaving(long nowMillis) {
        mover.startLeaving();
        tick(nowMillis);
    }

    /** Whether an entry that is shutting down has transferred all of its parts and received all acknowledgements. */
    public boolean isHandoverComplete() {
        return mover.pendingTransfers() == 0
                && table.buckets().stream().allMatch(bucket -> bucket.parts() == 0 && bucket.waiting.isEmpty());
    }

    private boolean mayUseParts(long nowMillis) {
        return generation.contains(self) && lease.isValid(nowMillis);
    }

    private void serveAll(long nowMillis) {
        if (activeBuckets.isEmpty()) {
            return;
        }
        for (Bucket bucket : List.copyOf(activeBuckets)) {
            serve(nowMillis, bucket);
            fetcher.fetch(nowMillis, bucket);
            mover.returnSurplus(nowMillis, bucket);
            boolean hasNoWaiters = bucket.waiting.isEmpty();
            if (hasNoWaiters && (bucket.parts() == 0 || mover.isHome(bucket.key))) {
                activeBuckets.remove(bucket);
            }
        }
    }

    private void serve(long nowMillis, Bucket bucket) {
        if (bucket.waiting.isEmpty()) {
            return;
        }
        bucket.accrue(nowMillis);
        while (!bucket.waiting.isEmpty() && bucket.hasToken() && mayUseParts(nowMillis)) {
            Waiter waiter = bucket.waiting.poll();
            fetcher.onServed(nowMillis);
            waiter.callback().accept(new TakeOutcome.Taken(bucket.take()));
        }
        while (!bucket.waiting.isEmpty() && bucket.waiting.peek().deadlineMillis() <= nowMillis) {
            Waiter waiter = bucket.waiting.poll();
            bucket.refused++;
            waiter.callback().accept(new TakeOutcome.Refused(bucket.retryAfterMillis()));
        }
    }

    private Bucket bucket(long nowMillis, AccountKey key) {
        return table.findOrAdd(key, nowMillis, added -> grantUnheld(nowMillis, added));
    }

    private void send(VmId to, LimitMessage message) {
        port.send(to.name(), message);
    }

    /** Whether the current generation names this VM as a member, so that it may hold parts. */
    public boolean isMember() {
        return generation.contains(self);
    }

    /** The current generation, for checkpoints of the stream; empty before the first. */
    public Optional<LimitGenerationRecord> generation() {
        return generation.offset == LimitGenerationRecord.NONE ? Optional.empty() : Optional.of(generation.record);
    }

    /** Offset of the current generation. */
    public long generationOffset() {
        return generation.offset;
    }

    /** Whether this VM may use its parts: it recently proved that no newer generation excludes it. */
    public boolean holdsLease(long nowMillis) {
        return mayUseParts(nowMillis);
    }

    /** How often a check found more parts than exist; any value but 0 is a bug. */
    public long invariantViolations() {
        return mover.invariantViolations();
    }

    /** Returns the state of each account at this entry. */
    public List<LimitStatus> status(long nowMillis) {
        return table.buckets().stream()
                .map(bucket -> LimitStatuses.of(nowMillis, bucket, mover.pendingParts(bucket.key)))
                .toList();
    }
}
