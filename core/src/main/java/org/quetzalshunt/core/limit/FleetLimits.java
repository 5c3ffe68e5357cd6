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
import org.quetzalshunt.core.limit.LimitMessage.LeaseRequest;
import org.quetzalshunt.core.limit.LimitMessage.LeaseWord;
import org.quetzalshunt.core.limit.LimitMessage.Request;
import org.quetzalshunt.core.limit.LimitMessage.Transfer;
import org.quetzalshunt.core.limit.LimitMessage.TransferAcknowledgement;
import org.quetzalshunt.core.membership.Member;
import org.quetzalshunt.core.vm.VmId;

/**
 * Rate and burst of every client account at one entry, by escrow: the parts held by all entries never sum to more than
 * the account's rate and burst.
 *
 * <p>Times are milliseconds of the caller's monotonic clock, which must go on while the process is paused. Not safe for
 * use by several threads. {@link #tick} is due every few milliseconds while requests wait, and a few times a second
 * otherwise.
 */
public final class FleetLimits {
    /** Told to callers of an account that this entry does not know yet. */
    private static final long UNKNOWN_ACCOUNT_RETRY_MILLIS = 1_000;

    private final VmId self;
    private final LimitSettings settings;
    private final LimitPort port;
    private final BucketTable table = new BucketTable();
    /** Rows with waiting requests, or with parts that may have to go back to their home. */
    private final Set<Bucket> active = new HashSet<>();

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

    /** Limits of an entry that has just started: it holds nothing until a generation names it. */
    public static FleetLimits create(VmId self, LimitSettings settings, LimitPort port) {
        return new FleetLimits(self, settings, port);
    }

    /** Puts an account's rate and burst in force, as a document has them; an older version changes nothing. */
    public void documentChanged(
            long nowMillis, String service, String account, double requestsPerSecond, double burst, long version) {
        Bucket bucket = bucket(nowMillis, new AccountKey(service, account));
        if (version < bucket.version) {
            return;
        }
        boolean added = bucket.version == Long.MIN_VALUE;
        bucket.version = version;
        bucket.limit(nowMillis, requestsPerSecond, burst);
        if (added) {
            creditUnused(nowMillis, bucket);
        }
        serve(nowMillis, bucket);
    }

    /** Takes an account out of force; its row stays, so that putting it back cannot grant its tokens twice. */
    public void removed(long nowMillis, String service, String account, long version) {
        documentChanged(nowMillis, service, account, 0, 0, version);
    }

    /** Takes one token for a request, or lets it wait for one, at most the wait of the settings. */
    public Take take(long nowMillis, String service, String account, Consumer<TakeOutcome> later) {
        Optional<Bucket> known = table.find(new AccountKey(service, account));
        if (known.isEmpty()) {
            return new Take.Refused(UNKNOWN_ACCOUNT_RETRY_MILLIS);
        }
        Bucket bucket = known.get();
        bucket.accrue(nowMillis);
        bucket.demand.add(nowMillis);
        bucket.lastTakeMillis = nowMillis;
        serve(nowMillis, bucket);
        if (bucket.waiting.isEmpty() && bucket.hasToken() && mayUse(nowMillis)) {
            long moment = bucket.take();
            fetcher.onServed(nowMillis);
            fetcher.fetch(nowMillis, bucket);
            return new Take.Taken(moment);
        }
        if (bucket.waiting.size() >= bucket.waitingLimit(settings.waitMillis())) {
            bucket.refused++;
            return new Take.Refused(bucket.retryAfterMillis());
        }
        long handle = nextHandle++;
        bucket.waiting.add(new Waiter(handle, nowMillis + settings.waitMillis(), later));
        active.add(bucket);
        fetcher.fetch(nowMillis, bucket);
        return new Take.Waiting(handle);
    }

    /** Ends a wait whose caller went away; its callback is not called. */
    public void cancel(long handle) {
        for (Bucket bucket : active) {
            if (bucket.waiting.removeIf(waiter -> waiter.handle() == handle)) {
                return;
            }
        }
    }

    /** Gives back a token whose request was refused later and truly did not run. */
    public void giveBack(String service, String account, long moment) {
        table.find(new AccountKey(service, account)).ifPresent(bucket -> bucket.giveBack(moment));
    }

    /** The same where the moment of taking is not known: fewer tokens can be put back safely. */
    public void giveBack(String service, String account) {
        giveBack(service, account, Long.MIN_VALUE);
    }

    /** Takes in a message of another entry. The incarnation is the one that the connection was opened by. */
    public void onMessage(long nowMillis, VmId from, LimitMessage message) {
        if (message instanceof LeaseRequest request) {
            onLeaseRequest(from, request);
            return;
        }
        // A message of another generation is void: what it moves or asks for has been counted anew, or will be when
        // this
        // VM has read the newer generation; its sender repeats it until then.
        boolean current = message.generation() == generation.offset;
        if (!current || !generation.contains(self)) {
            return;
        }
        if (message instanceof LeaseWord word) {
            lease.onWord(from, word.sentMillis());
            serveAll(nowMillis);
        } else if (generation.contains(from)) {
            onMembersMessage(nowMillis, from, message);
        }
    }

    private void onMembersMessage(long nowMillis, VmId from, LimitMessage message) {
        if (message instanceof Request request) {
            onRequest(nowMillis, request);
        } else if (message instanceof Transfer transfer) {
            onTransfer(nowMillis, from, transfer);
        } else if (message instanceof TransferAcknowledgement acknowledgement) {
            mover.onAcknowledgement(nowMillis, from, acknowledgement.transfer());
        } else if (message instanceof CarryReport report) {
            onReport(nowMillis, from, report);
        } else if (message instanceof CarryAcknowledgement) {
            carryOver.onAcknowledgement(from);
        }
    }

    private void onLeaseRequest(VmId from, LeaseRequest request) {
        boolean knowsNoNewer = generation.offset <= request.generation();
        if (knowsNoNewer) {
            send(from, new LeaseWord(request.generation(), request.sentMillis()));
        }
    }

    private void onRequest(long nowMillis, Request request) {
        if (!generation.contains(request.asker()) || request.asker().equals(self)) {
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
        active.add(bucket);
        serve(nowMillis, bucket);
    }

    private void onReport(long nowMillis, VmId from, CarryReport report) {
        send(from, new CarryAcknowledgement(report.generation()));
        carryOver.onReport(nowMillis, from, report);
        for (Holding holding : report.holdings()) {
            bucket(nowMillis, holding.key()).holders.note(nowMillis, from, 0);
        }
    }

    /** Takes in a generation record, in the order of the stream. A record that is not based on the last one is void. */
    public void onGeneration(long nowMillis, long offset, LimitGenerationRecord record) {
        if (offset > generation.offset && record.basedOnGeneration() == generation.offset) {
            enter(nowMillis, Generation.of(offset, record));
        }
    }

    /** Takes in the generation that a checkpoint of the stream holds, with the offset that its record had. */
    public void restoreGeneration(long nowMillis, long offset, LimitGenerationRecord record) {
        if (offset > generation.offset) {
            enter(nowMillis, Generation.of(offset, record));
        }
    }

    private void enter(long nowMillis, Generation next) {
        // What this VM holds counts only if it was a member of the generation just before: a VM that missed one may
        // have
        // been left out of it, and its part granted to others.
        boolean carries = next.record.basedOnGeneration() == generation.offset
                && generation.contains(self)
                && next.contains(self);
        List<Holding> holdings = new ArrayList<>();
        for (Bucket bucket : table.rows()) {
            if (!carries) {
                bucket.clear(nowMillis);
            }
            bucket.holders.clear();
            if (bucket.parts() > 0) {
                holdings.add(new Holding(bucket.key, bucket.parts()));
            }
        }
        mover.onGeneration(next);
        generation = next;
        lease.onGeneration(next.members);
        fetcher.onGeneration(next);
        proposer.onGeneration(nowMillis, next);
        carryOver.start(nowMillis, next, carries, holdings, this::send);
        tick(nowMillis);
    }

    /** Takes in the view of the membership. */
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
        fetcher.onAlive(live);
        proposer.onMembers(nowMillis, members);
    }

    /**
     * Notes that the configuration stream was read to its end, after every record of that read has been taken in.
     *
     * @param sentMillis local time at which the read was sent, not that of its answer
     */
    public void onLogRead(long nowMillis, long sentMillis) {
        lease.onLogRead(sentMillis);
        serveAll(nowMillis);
    }

    /** Lets time pass: serves and refuses waiting requests, repeats what got no answer, proposes generations. */
    public void tick(long nowMillis) {
        if (generation.contains(self)) {
            lease.tick(nowMillis, generation.offset, this::send);
            carryOver.tick(nowMillis, this::send);
            mover.repeat(nowMillis);
            if (carryOver.anyDue(nowMillis)) {
                table.rows().forEach(bucket -> grantUnheld(nowMillis, bucket));
            }
        }
        if (!mover.isLeaving()) {
            proposer.tick(nowMillis, port::appendGeneration);
        }
        serveAll(nowMillis);
        mover.sweepIdle(nowMillis, table.rows());
    }

    private void grantUnheld(long nowMillis, Bucket bucket) {
        long unheld = carryOver.claimUnheld(nowMillis, bucket.key);
        if (unheld > 0) {
            mover.add(nowMillis, bucket, unheld, 0);
            if (generation.record.first()) {
                bucket.fill();
            }
            serve(nowMillis, bucket);
        }
    }

    /**
     * Credits a new account with what its part would have earned since it was granted, as nobody can have used a token of
     * it. In a deployment's very first generation that is a full bucket. A part granted after that starts empty, since
     * its former holder may just have used a full burst.
     */
    private void creditUnused(long nowMillis, Bucket bucket) {
        if (bucket.moved) {
            return;
        }
        if (generation.record.first()) {
            bucket.fill();
        } else {
            bucket.earn(nowMillis - carryOver.grantedMillis(nowMillis));
        }
    }

    /** Starts a planned stop: every part goes to live peers, now and whenever one still arrives. */
    public void leaving(long nowMillis) {
        mover.leave();
        tick(nowMillis);
    }

    /** Whether a leaving entry has handed over everything and had it acknowledged. */
    public boolean handedOver() {
        return mover.pendingTransfers() == 0
                && table.rows().stream().allMatch(bucket -> bucket.parts() == 0 && bucket.waiting.isEmpty());
    }

    private boolean mayUse(long nowMillis) {
        return generation.contains(self) && lease.holds(nowMillis);
    }

    private void serveAll(long nowMillis) {
        if (active.isEmpty()) {
            return;
        }
        for (Bucket bucket : List.copyOf(active)) {
            serve(nowMillis, bucket);
            fetcher.fetch(nowMillis, bucket);
            mover.bringBack(nowMillis, bucket);
            boolean quiet = bucket.waiting.isEmpty();
            if (quiet && (bucket.parts() == 0 || mover.isHome(bucket.key))) {
                active.remove(bucket);
            }
        }
    }

    private void serve(long nowMillis, Bucket bucket) {
        if (bucket.waiting.isEmpty()) {
            return;
        }
        bucket.accrue(nowMillis);
        while (!bucket.waiting.isEmpty() && bucket.hasToken() && mayUse(nowMillis)) {
            Waiter waiter = bucket.waiting.poll();
            fetcher.onServed(nowMillis);
            waiter.later().accept(new TakeOutcome.Taken(bucket.take()));
        }
        while (!bucket.waiting.isEmpty() && bucket.waiting.peek().deadlineMillis() <= nowMillis) {
            Waiter waiter = bucket.waiting.poll();
            bucket.refused++;
            waiter.later().accept(new TakeOutcome.Refused(bucket.retryAfterMillis()));
        }
    }

    private Bucket bucket(long nowMillis, AccountKey key) {
        return table.findOrAdd(key, nowMillis, added -> grantUnheld(nowMillis, added));
    }

    private void send(VmId to, LimitMessage message) {
        port.send(to.name(), message);
    }

    /** Whether the generation in force names this VM, so that it may hold parts. */
    public boolean isMember() {
        return generation.contains(self);
    }

    /** The generation in force with its offset, for checkpoints of the stream; empty before the first. */
    public Optional<LimitGenerationRecord> generation() {
        return generation.offset == LimitGenerationRecord.NONE ? Optional.empty() : Optional.of(generation.record);
    }

    /** Offset of the generation in force. */
    public long generationOffset() {
        return generation.offset;
    }

    /** Whether this VM may use its parts: it proved of late that no newer generation leaves it out. */
    public boolean holdsLease(long nowMillis) {
        return mayUse(nowMillis);
    }

    /** How often a check of this class found a promise broken; anything but 0 is a fault of the program. */
    public long brokenPromises() {
        return mover.brokenPromises();
    }

    /** What this entry holds, a row an account. */
    public List<LimitStatus> status(long nowMillis) {
        return table.rows().stream()
                .map(bucket -> LimitStatuses.of(nowMillis, bucket, mover.pendingParts(bucket.key)))
                .toList();
    }
}
