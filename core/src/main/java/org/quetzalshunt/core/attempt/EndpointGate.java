package org.quetzalshunt.core.attempt;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

/**
 * Sole access point to an endpoint. Deduplicates attempts, refuses orders from former shard owners, retains responses
 * for receivers whose link broke, and manages leases on the engine's cache entries. Not thread-safe; every call passes
 * its outputs to the consumer before it returns.
 */
public final class EndpointGate {
    private final GateSettings settings;
    private final Consumer<GateOutput> outputs;
    private final AttemptTable table = new AttemptTable();
    private final EpochTable epochs = new EpochTable();
    private final DeduplicationCache deduplicationCache = new DeduplicationCache();
    private final CacheLeases leases;
    private final FrameDelivery delivery;
    private final AttemptTimers timers;
    private final EndpointEventHandler eventHandler;
    private boolean leaving;
    private long refusedOrders;

    private EndpointGate(GateSettings settings, Consumer<GateOutput> outputs, long nowMillis) {
        this.settings = settings;
        this.outputs = outputs;
        this.leases = new CacheLeases(outputs, nowMillis + settings.orphanCacheDelayMillis());
        this.delivery = new FrameDelivery(table, outputs);
        EngineEventHandler engineEventHandler = new EngineEventHandler(delivery, outputs);
        this.timers = new AttemptTimers(settings, table, deduplicationCache, delivery, engineEventHandler, outputs);
        this.eventHandler =
                settings.kind() == ServiceKind.ENGINE ? engineEventHandler : new PlainEventHandler(delivery, outputs);
    }

    /** Creates a gate without attempts or leases. */
    public static EndpointGate create(GateSettings settings, Consumer<GateOutput> outputs, long nowMillis) {
        return new EndpointGate(settings, outputs, nowMillis);
    }

    /**
     * Handles an owner's order to run an attempt. A duplicate order attaches its link to the existing attempt and does
     * not run it again.
     */
    public void start(long link, AttemptOrder order, long nowMillis) {
        boolean stale = isStale(order.shard(), order.epoch(), nowMillis);
        Optional<AttemptRecord> known = table.find(order.attempt());
        if (known.isPresent()) {
            attachDuplicate(link, known.get(), stale);
            return;
        }
        Optional<AttemptResult> cachedResult = deduplicationCache.find(order.attempt());
        if (cachedResult.isPresent()) {
            outputs.accept(new GateOutput.SendEnd(link, order.attempt(), cachedResult.get()));
            return;
        }
        Optional<ResultCode> refusal = findRefusal(order, stale);
        if (refusal.isPresent()) {
            refuse(link, order, refusal.get(), nowMillis);
            return;
        }
        run(link, order, nowMillis);
    }

    /**
     * Handles a receiver's request for an attempt's frames from a sequence number on. The link that was attached before
     * receives no further frames.
     */
    public void resume(long link, long attempt, int fromSequence) {
        Optional<AttemptRecord> known = table.find(attempt);
        if (known.isPresent()) {
            delivery.attach(known.get(), link, fromSequence);
            return;
        }
        AttemptResult unknown = AttemptResult.of(ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, 0);
        outputs.accept(new GateOutput.SendEnd(
                link, attempt, deduplicationCache.find(attempt).orElse(unknown)));
    }

    /** Handles a receiver's cancel. Ignored if another link has been attached to the attempt since. */
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
            timers.stop(record, ResultCode.CANCELLED, nowMillis);
            return;
        }
        record.result.ifPresent(result -> outputs.accept(new GateOutput.SendEnd(link, attempt, result)));
    }

    /** Detaches a closed link. Its attempts keep running, so that another link can resume them. */
    public void linkClosed(long link, long nowMillis) {
        table.detach(link, nowMillis);
    }

    /** Handles an endpoint event. Ignored if the attempt has ended or the event belongs to an earlier run. */
    public void onEndpointEvent(EndpointEvent event, long nowMillis) {
        Optional<AttemptRecord> known = table.find(event.attempt());
        if (known.isEmpty() || !known.get().isRunning() || known.get().run != event.run()) {
            return;
        }
        eventHandler.apply(known.get(), event, nowMillis);
    }

    /** Handles an owner's renewal of the cache leases of its programs. */
    public void renewCache(int shard, long epoch, List<String> programs, long leaseMillis, long nowMillis) {
        if (isStale(shard, epoch, nowMillis) || leaseMillis <= 0) {
            return;
        }
        programs.forEach(program -> leases.renew(program, shard, epoch, leaseMillis, nowMillis));
    }

    /** Handles an owner's notice that a program no longer needs its cache entry. */
    public void releaseCache(int shard, long epoch, String program, long nowMillis) {
        if (isStale(shard, epoch, nowMillis)) {
            return;
        }
        leases.release(program, shard, epoch, nowMillis);
    }

    /** Reports the outcome of a {@link GateOutput.FreeCache}: whether the engine answered. */
    public void cacheFreed(String program, boolean answered, long nowMillis) {
        leases.onFreeResult(program, answered, nowMillis);
    }

    /** Reports the result of a {@link GateOutput.ListCache}: the programs whose cache entries the engine holds. */
    public void cacheListed(List<String> heldPrograms, long nowMillis) {
        leases.onListed(heldPrograms, nowMillis);
    }

    /**
     * Begins a planned stop: new orders are refused, running attempts continue, and an engine's cache entries are
     * freed.
     */
    public void startDraining() {
        leaving = true;
    }

    /**
     * Aborts all running attempts at the end of the drain period. A non-repeatable call to a plain service ends with
     * {@code OUTCOME_UNKNOWN}, any other attempt with {@code ANSWER_CUT}.
     */
    public void abortAll(long nowMillis) {
        table.listRunning().forEach(record -> timers.abort(record, ResultCode.ANSWER_CUT, nowMillis));
    }

    /** Handles all timeouts, retries and evictions that are due. To be called about twenty times a second. */
    public void tick(long nowMillis) {
        timers.tick(nowMillis);
        if (settings.kind() == ServiceKind.ENGINE) {
            if (leaving) {
                leases.expireAll(nowMillis);
            }
            leases.tick(nowMillis, this::isRunning);
        }
    }

    /** Returns the current statistics. */
    public GateStatistics counts() {
        return new GateStatistics(
                table.runningCount(),
                table.finishedCount(),
                deduplicationCache.size(),
                epochs.shardCount(),
                leases.heldCount(),
                leases.freedCount(),
                refusedOrders,
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

    private void attachDuplicate(long link, AttemptRecord record, boolean stale) {
        if (!stale) {
            delivery.attach(record, link, 0);
            return;
        }
        Execution execution = record.result.map(AttemptResult::execution).orElse(Execution.RAN);
        AttemptResult result = AttemptResult.of(ResultCode.STALE_EPOCH, execution, 0);
        outputs.accept(new GateOutput.SendEnd(link, record.attempt(), result));
    }

    private Optional<ResultCode> findRefusal(AttemptOrder order, boolean stale) {
        if (stale) {
            return Optional.of(ResultCode.STALE_EPOCH);
        }
        if (leaving) {
            return Optional.of(ResultCode.STOPPING);
        }
        if (order.remainingMillis() <= 0) {
            return Optional.of(ResultCode.DEADLINE_PASSED);
        }
        if (table.runningCount() >= settings.maximumRunning()) {
            return Optional.of(ResultCode.ENDPOINT_REFUSED);
        }
        return Optional.empty();
    }

    /** Caches the refusal, so that a later duplicate of the order gets the same result and does not run. */
    private void refuse(long link, AttemptOrder order, ResultCode code, long nowMillis) {
        refusedOrders++;
        AttemptResult result = AttemptResult.of(code, Execution.NOT_RUN, 0);
        deduplicationCache.put(order.attempt(), result, nowMillis);
        outputs.accept(new GateOutput.SendEnd(link, order.attempt(), result));
    }

    /**
     * Handles a cancel that arrived before its order, which is on another link. Caches the result, so that the order
     * does not run when it arrives.
     */
    private void cancelUnknown(long link, long attempt, long nowMillis) {
        AttemptResult result = deduplicationCache
                .find(attempt)
                .orElseGet(() -> AttemptResult.of(ResultCode.CANCELLED, Execution.UNKNOWN, 0));
        deduplicationCache.put(attempt, result, nowMillis);
        outputs.accept(new GateOutput.SendEnd(link, attempt, result));
    }

    /** Records the epoch and returns whether it is stale; a newer one stops the former owner's repeatable attempts. */
    private boolean isStale(int shard, long epoch, long nowMillis) {
        EpochTable.Freshness freshness = epochs.observe(shard, epoch);
        if (freshness == EpochTable.Freshness.NEWER) {
            stopAttemptsOfFormerOwner(shard, epoch, nowMillis);
        }
        return freshness == EpochTable.Freshness.STALE;
    }

    /**
     * Stops a former owner's repeatable attempts, whose results are no longer used. Non-repeatable attempts run to
     * their end, so that the recorded outcome is true.
     */
    private void stopAttemptsOfFormerOwner(int shard, long epoch, long nowMillis) {
        for (AttemptRecord record : table.listRunning()) {
            AttemptOrder order = record.order;
            if (order.shard() == shard && order.epoch() < epoch && order.repeatable()) {
                timers.stop(record, ResultCode.STALE_EPOCH, nowMillis);
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
