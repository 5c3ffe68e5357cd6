package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.quetzalshunt.core.route.AccountTerms;
import org.quetzalshunt.core.route.TrafficConfiguration;
import org.quetzalshunt.core.share.DemandMeter;
import org.quetzalshunt.core.share.ShareBucket;
import org.quetzalshunt.core.share.ShareLedger;
import org.quetzalshunt.core.share.ShareRecord;
import org.quetzalshunt.core.store.AppendAnswer;
import org.quetzalshunt.core.store.ChangesAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapName;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RangeAnswer;
import org.quetzalshunt.core.store.SharedMap;
import org.quetzalshunt.wire.record.StoredRecords;

/** Holds this VM's parts of the accounts' rates: keeps its record in the shared map and spends what it says. */
final class RateKeeper {
    private static final MapShard SHARD = MapShard.only(MapName.FLEET);

    /** How soon parts follow demand; one read a second costs a VM little and a hot account is followed in two. */
    private static final long INTERVAL_MILLIS = 1_000;

    /** Conflicts in a row before the next interval is waited for. */
    private static final int MOST_TRIES = 4;

    private final EventExecutor executor;
    private final SharedMap map;
    private final NodeClock clock;
    private final DecisionLog log;
    private final String vm;
    private final Supplier<Optional<TrafficConfiguration>> configuration;
    private final ShareLedger ledger;
    private final Map<String, ShareBucket> buckets = new HashMap<>();
    private final Map<String, DemandMeter> meters = new HashMap<>();
    private long next = -1;
    private int tries;
    private boolean stopping;

    RateKeeper(
            EventExecutor executor,
            SharedMap map,
            NodeClock clock,
            DecisionLog log,
            GatewaySettings settings,
            Supplier<Optional<TrafficConfiguration>> configuration) {
        this.executor = executor;
        this.map = map;
        this.clock = clock;
        this.log = log;
        this.vm = settings.vm();
        this.configuration = configuration;
        this.ledger = ShareLedger.create(settings.vm(), settings.incarnation());
    }

    /** Takes a token of an account's rate; false when this VM's part has none now. */
    boolean take(AccountTerms account) {
        if (!account.limited()) {
            return true;
        }
        long now = clock.now();
        meters.computeIfAbsent(account.name(), ignored -> DemandMeter.create(now))
                .count(now);
        return ledger.leased(now) && bucket(account.name()).take(now);
    }

    /** Gives back a token whose request never ran. */
    void giveBack(AccountTerms account) {
        if (account.limited()) {
            bucket(account.name()).giveBack();
        }
    }

    /** Time until this VM's part has a token, in milliseconds; {@code most} when none will come sooner. */
    long waitMillis(AccountTerms account, long most) {
        return bucket(account.name()).waitMillis(clock.now(), most);
    }

    /** Whether this VM holds its parts by a lease that is in force. */
    boolean leased() {
        return ledger.leased(clock.now());
    }

    /** VMs that serve, this one included. */
    int liveVms() {
        return ledger.liveOthers(clock.now()) + 1;
    }

    /** The lease no longer counts, after a pause of unknown length. */
    void lapse() {
        ledger.lapse();
        limitBuckets();
    }

    /** Rates changed. */
    void configurationChanged() {
        limitBuckets();
    }

    /**
     * This VM's record is removed, so that the others may use its parts at once. Removed only where the map was last
     * read: a removal that landed late would hide the parts that this VM's next process holds.
     */
    void stop() {
        stopping = true;
        ledger.lapse();
        limitBuckets();
        map.append(SHARD, List.of(MapEntry.removal(vm)), OptionalLong.of(Math.max(0, next)), answer -> {});
    }

    void start() {
        if (stopping) {
            return;
        }
        tries = 0;
        read();
    }

    private void again() {
        limitBuckets();
        executor.schedule(this::start, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void read() {
        if (next < 0) {
            map.range(SHARD, "", answer -> {
                if (!(answer instanceof RangeAnswer.Page page)) {
                    again();
                    return;
                }
                page.entries().forEach(this::see);
                next = page.end();
                propose();
            });
            return;
        }
        map.changes(SHARD, next, 0, answer -> {
            if (answer instanceof ChangesAnswer.Changes changes) {
                changes.entries().forEach(this::see);
                next = changes.next();
                if (next < changes.end()) {
                    read();
                } else {
                    propose();
                }
                return;
            }
            if (answer instanceof ChangesAnswer.Gone) {
                next = -1;
                read();
                return;
            }
            again();
        });
    }

    private void see(MapEntry entry) {
        if (entry.value().isEmpty()) {
            ledger.removed(entry.key());
            return;
        }
        StoredRecords.shares(entry.value().get()).ifPresent(record -> ledger.seen(clock.now(), entry.key(), record));
    }

    private void propose() {
        Optional<TrafficConfiguration> current = configuration.get();
        if (stopping || current.isEmpty()) {
            again();
            return;
        }
        long now = clock.now();
        Map<String, Double> demand = new HashMap<>();
        meters.forEach((account, meter) -> demand.put(account, meter.perSecond(now)));
        Optional<ShareRecord> proposal =
                ledger.propose(now, current.get().accounts().keySet(), demand);
        if (proposal.isEmpty()) {
            again();
            return;
        }
        send(now, proposal.get());
    }

    private void send(long sentMillis, ShareRecord record) {
        ledger.sending(sentMillis, record);
        limitBuckets();
        MapEntry entry = MapEntry.of(vm, StoredRecords.encode(record));
        map.append(SHARD, List.of(entry), OptionalLong.of(next), answer -> {
            if (answer instanceof AppendAnswer.Appended appended) {
                next = appended.end();
                ledger.kept(sentMillis, record);
                again();
                return;
            }
            tries++;
            if (answer instanceof AppendAnswer.Conflict && tries < MOST_TRIES) {
                read();
                return;
            }
            log.line(log.event("shares-not-kept")
                    .put("answer", answer.toString())
                    .put("tries", tries));
            again();
        });
    }

    private void limitBuckets() {
        long now = clock.now();
        configuration.get().ifPresent(current -> current.accounts().values().forEach(account -> {
            double part = (double) ledger.parts(now, account.name()) / ShareLedger.ALL_PARTS;
            bucket(account.name()).limit(now, account.ratePerSecond() * part, account.burst() * part);
        }));
    }

    private ShareBucket bucket(String account) {
        return buckets.computeIfAbsent(account, ignored -> ShareBucket.create(clock.now()));
    }
}
