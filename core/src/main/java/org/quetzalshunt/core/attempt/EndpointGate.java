package org.quetzalshunt.core.attempt;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

/**
 * The only gate to an endpoint: runs each attempt once, refuses former owners, keeps answers for receivers whose link
 * broke, and holds and frees engine memory. Used on one thread; every call hands its outputs to the consumer before
 * it returns.
 */
public final class EndpointGate {
    private final GateSettings settings;
    private final Consumer<GateOutput> outputs;
    private final AttemptTable table = new AttemptTable();
    private final EpochTable epochs = new EpochTable();
    private final RememberedResults remembered = new RememberedResults();
    private final CacheLeases leases;
    private final FrameDelivery delivery;
    private final AttemptTimes times;
    private final RunRules rules;
    private boolean leaving;
    private long refused;

    private EndpointGate(GateSettings settings, Consumer<GateOutput> outputs, long nowMillis) {
        this.settings = settings;
        this.outputs = outputs;
        this.leases = new CacheLeases(outputs, nowMillis + settings.orphanCacheMillis());
        this.delivery = new FrameDelivery(table, outputs);
        ChatRules chatRules = new ChatRules(delivery, outputs);
        this.times = new AttemptTimes(settings, table, remembered, delivery, chatRules, outputs);
        this.rules = settings.kind() == ServiceKind.ENGINE ? chatRules : new PlainRules(delivery, outputs);
    }

    /** Makes a gate with nothing running. */
    public static EndpointGate create(GateSettings settings, Consumer<GateOutput> outputs, long nowMillis) {
        return new EndpointGate(settings, outputs, nowMillis);
    }

    /** An owner ordered an attempt. A copy of a former order attaches its link to the attempt and never runs again. */
    public void start(long link, AttemptOrder order, long nowMillis) {
        boolean stale = isStale(order.shard(), order.epoch(), nowMillis);
        Optional<AttemptRecord> known = table.find(order.attempt());
        if (known.isPresent()) {
            startAgain(link, known.get(), stale);
            return;
        }
        Optional<AttemptResult> former = remembered.find(order.attempt());
        if (former.isPresent()) {
            outputs.accept(new GateOutput.SendEnd(link, order.attempt(), former.get()));
            return;
        }
        Optional<ResultCode> refusal = refusal(order, stale);
        if (refusal.isPresent()) {
            refuse(link, order, refusal.get(), nowMillis);
            return;
        }
        run(link, order, nowMillis);
    }

    /** A receiver asks for an attempt's frames from a sequence on; the link attached before hears no more. */
    public void resume(long link, long attempt, int fromSequence) {
        Optional<AttemptRecord> known = table.find(attempt);
        if (known.isPresent()) {
            delivery.attach(known.get(), link, fromSequence);
            return;
        }
        AttemptResult unknown = AttemptResult.of(ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, 0);
        outputs.accept(
                new GateOutput.SendEnd(link, attempt, remembered.find(attempt).orElse(unknown)));
    }

    /** The receiver wants no answer any more. Void from a link whose attempt another link has taken over. */
    public void cancel(long link, long attempt, long nowMillis) {
        Optional<AttemptRecord> known = table.find(attempt);
        if (known.isEmpty()) {
            cancelUnknown(link, attempt, nowMillis);
            return;
        }
        AttemptRecord record = known.get();
        if (record.link != link && record.link != AttemptRecord.NO_LINK) {
            return;
        }
        record.link = link;
        if (record.isRunning()) {
            times.stop(record, ResultCode.CANCELLED, nowMillis);
            return;
        }
        record.result.ifPresent(result -> outputs.accept(new GateOutput.SendEnd(link, attempt, result)));
    }

    /** A link is gone; its attempts run on for another to resume. */
    public void linkClosed(long link, long nowMillis) {
        table.detach(link, nowMillis);
    }

    /** Something came of a run at the endpoint; void when the attempt ended or has a later run. */
    public void on(EndpointEvent event, long nowMillis) {
        Optional<AttemptRecord> known = table.find(event.attempt());
        if (known.isEmpty() || !known.get().isRunning() || known.get().run != event.run()) {
            return;
        }
        rules.apply(known.get(), event, nowMillis);
    }

    /** An owner renews the leases of its programs. */
    public void renewCache(int shard, long epoch, List<String> programs, long leaseMillis, long nowMillis) {
        if (isStale(shard, epoch, nowMillis) || leaseMillis <= 0) {
            return;
        }
        programs.forEach(program -> leases.renew(program, shard, epoch, leaseMillis, nowMillis));
    }

    /** An owner says that a program needs its cache no more. */
    public void releaseCache(int shard, long epoch, String program, long nowMillis) {
        if (isStale(shard, epoch, nowMillis)) {
            return;
        }
        leases.release(program, shard, epoch, nowMillis);
    }

    /** What came of a {@link GateOutput.FreeCache}: whether the engine answered. */
    public void cacheFreed(String program, boolean answered, long nowMillis) {
        leases.freed(program, answered, nowMillis);
    }

    /** What came of a {@link GateOutput.ListCache}: programs whose entries the engine holds. */
    public void cacheListed(List<String> heldPrograms, long nowMillis) {
        leases.listed(heldPrograms, nowMillis);
    }

    /** Refuses new orders from now on; what runs goes on. */
    public void leave() {
        leaving = true;
    }

    /** Ends what still runs, at the end of the time to leave; each receiver is told what is true. */
    public void cutAll(long nowMillis) {
        table.listRunning().forEach(record -> times.giveUp(record, ResultCode.ANSWER_CUT, nowMillis));
    }

    /** Does what is due. Call some twenty times a second. */
    public void tick(long nowMillis) {
        times.tick(nowMillis);
        if (settings.kind() == ServiceKind.ENGINE) {
            if (leaving) {
                leases.endAll(nowMillis);
            }
            leases.tick(nowMillis, this::isRunning);
        }
    }

    /** Figures as of now. */
    public GateCounts counts() {
        return new GateCounts(
                table.running(),
                table.finished(),
                remembered.size(),
                epochs.shards(),
                leases.held(),
                leases.freedCount(),
                refused,
                leaving);
    }

    private void run(long link, AttemptOrder order, long nowMillis) {
        AttemptRecord record = AttemptRecord.of(order, link, nowMillis);
        table.add(record);
        if (settings.kind() == ServiceKind.ENGINE) {
            leases.renew(order.program(), order.shard(), order.epoch(), order.cacheLeaseMillis(), nowMillis);
        }
        outputs.accept(new GateOutput.StartRun(order, record.run, order.remainingMillis()));
    }

    private void startAgain(long link, AttemptRecord record, boolean stale) {
        if (!stale) {
            delivery.attach(record, link, 0);
            return;
        }
        Execution execution = record.result.map(AttemptResult::execution).orElse(Execution.RAN);
        AttemptResult result = AttemptResult.of(ResultCode.STALE_EPOCH, execution, 0);
        outputs.accept(new GateOutput.SendEnd(link, record.attempt(), result));
    }

    private Optional<ResultCode> refusal(AttemptOrder order, boolean stale) {
        if (stale) {
            return Optional.of(ResultCode.STALE_EPOCH);
        }
        if (leaving) {
            return Optional.of(ResultCode.STOPPING);
        }
        if (order.remainingMillis() <= 0) {
            return Optional.of(ResultCode.DEADLINE_PASSED);
        }
        if (table.running() >= settings.maximumRunning()) {
            return Optional.of(ResultCode.ENDPOINT_REFUSED);
        }
        return Optional.empty();
    }

    /** The refusal is remembered, so that it stays true when a copy of the order comes later. */
    private void refuse(long link, AttemptOrder order, ResultCode code, long nowMillis) {
        refused++;
        AttemptResult result = AttemptResult.of(code, Execution.NOT_RUN, 0);
        remembered.remember(order.attempt(), result, nowMillis);
        outputs.accept(new GateOutput.SendEnd(link, order.attempt(), result));
    }

    /** A cancel that overtook its order on another link: the order must not run when it comes. */
    private void cancelUnknown(long link, long attempt, long nowMillis) {
        AttemptResult result =
                remembered.find(attempt).orElseGet(() -> AttemptResult.of(ResultCode.CANCELLED, Execution.UNKNOWN, 0));
        remembered.remember(attempt, result, nowMillis);
        outputs.accept(new GateOutput.SendEnd(link, attempt, result));
    }

    private boolean isStale(int shard, long epoch, long nowMillis) {
        EpochTable.Standing standing = epochs.observe(shard, epoch);
        if (standing == EpochTable.Standing.NEWER) {
            stopFormerOwner(shard, epoch, nowMillis);
        }
        return standing == EpochTable.Standing.STALE;
    }

    /** A former owner's repeatable work has no receiver that counts; non-repeatable work runs to its end. */
    private void stopFormerOwner(int shard, long epoch, long nowMillis) {
        for (AttemptRecord record : table.listRunning()) {
            AttemptOrder order = record.order;
            if (order.shard() == shard && order.epoch() < epoch && order.repeatable()) {
                times.stop(record, ResultCode.STALE_EPOCH, nowMillis);
            }
        }
    }

    private boolean isRunning(String program) {
        for (AttemptRecord record : table.listRunning()) {
            if (record.order.program().equals(program)) {
                return true;
            }
        }
        return false;
    }
}
