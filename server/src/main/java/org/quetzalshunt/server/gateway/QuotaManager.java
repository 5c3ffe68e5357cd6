package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;
import org.quetzalshunt.core.quota.LeaseRecord;
import org.quetzalshunt.core.quota.QuotaLeases;
import org.quetzalshunt.core.quota.RenewalInterval;
import org.quetzalshunt.core.quota.TokenBucket;
import org.quetzalshunt.core.quota.TokenOffer;
import org.quetzalshunt.core.quota.TokenSearch;
import org.quetzalshunt.core.route.AccountTerms;
import org.quetzalshunt.core.route.TrafficConfiguration;
import org.quetzalshunt.core.store.AppendAnswer;
import org.quetzalshunt.core.store.ChangesAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapName;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RangeAnswer;
import org.quetzalshunt.wire.record.StoredRecords;

/**
 * Holds this VM's parts of the accounts' rates: keeps its record in the shared map and spends what it says. The records
 * also tell who else serves and where, and the secret of the links between them.
 */
final class QuotaManager {
    private static final MapShard SHARD = MapShard.only(MapName.FLEET);
    private static final String SECRET_KEY = "secret";
    private static final String VM_PREFIX = "vm/";
    private static final int SECRET_BYTES = 32;

    /** Conflicts in a row before the next interval is waited for. */
    private static final int MOST_TRIES = 6;

    private final EventExecutor executor;
    private final StoreClient map;
    private final NodeClock clock;
    private final DecisionLog log;
    private final Policy policy;
    private final String key;
    private final String self;
    private final Supplier<Optional<TrafficConfiguration>> configuration;
    private final QuotaLeases ledger;
    private final Map<String, TokenBucket> buckets = new HashMap<>();
    private PeerConnections links;
    private CrashReporter crashes;
    private boolean secretSeen;
    private long next = -1;
    private int tries;
    private boolean stopping;

    QuotaManager(
            EventExecutor executor,
            StoreClient map,
            NodeClock clock,
            DecisionLog log,
            GatewaySettings settings,
            Supplier<Optional<TrafficConfiguration>> configuration) {
        this.executor = executor;
        this.map = map;
        this.clock = clock;
        this.log = log;
        this.self = settings.vm();
        this.policy = settings.policy();
        this.key = VM_PREFIX + settings.vm();
        this.configuration = configuration;
        InetSocketAddress address = settings.links();
        this.ledger = QuotaLeases.create(
                settings.vm(), settings.incarnation(), address.getHostString() + ":" + address.getPort());
    }

    /**
     * Takes a token of an account's rate: from this VM's part, or from one of the account's homes. The listener hears how
     * long the request must wait; empty when the account is over its rate.
     *
     * @param maximumWaitMillis longest time for which the request may wait for a token that is still to be earned
     */
    void take(AccountTerms account, long maximumWaitMillis, Consumer<OptionalLong> listener) {
        if (!account.limited() || takeHere(account.name())) {
            listener.accept(OptionalLong.of(0));
            return;
        }
        TokenSearch.start(
                ledger.holders(account.name()),
                maximumWaitMillis,
                (holder, most, answer) -> ask(holder, account.name(), most, answer),
                listener);
    }

    private void ask(String holder, String account, long maximumWaitMillis, Consumer<TokenOffer> answer) {
        if (holder.equals(self)) {
            answer.accept(reserveHere(account, maximumWaitMillis));
            return;
        }
        links.requestToken(holder, account, maximumWaitMillis, answer);
    }

    private boolean takeHere(String account) {
        long now = clock.now();
        return !stopping && ledger.leased(now) && bucket(account).take(now);
    }

    /** Takes a token from this VM's part, for itself or for another VM, that may still have to be earned. */
    TokenOffer reserveHere(String account, long maximumWaitMillis) {
        long now = clock.now();
        if (stopping || !ledger.leased(now)) {
            return TokenOffer.NONE;
        }
        return bucket(account).reserve(now, maximumWaitMillis);
    }

    /** Whether this VM holds its parts by a lease that is in force. */
    boolean leased() {
        return ledger.leased(clock.now());
    }

    /**
     * Whether a VM that holds parts of the account can be asked: with none, a lack of tokens here says nothing of the
     * account, and its caller must not hear that it is over its rate.
     */
    boolean reachesLeaseHolder(String account) {
        return ledger.holders(account).stream().anyMatch(holder -> holder.equals(self) || links.isConnected(holder));
    }

    /** Whether that is so for every account. */
    boolean reachesAllLeaseHolders() {
        return configuration
                .get()
                .filter(current -> current.accounts().keySet().stream().allMatch(this::reachesLeaseHolder))
                .isPresent();
    }

    /** VMs that serve, this one included. */
    int liveVms() {
        return ledger.livePeers(clock.now()).size() + 1;
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
        map.append(SHARD, List.of(MapEntry.removal(key)), OptionalLong.of(Math.max(0, next)), answer -> {});
    }

    /** Begins to read and to keep this VM's record. */
    void start(PeerConnections fleetLinks, CrashReporter crashWatch) {
        links = fleetLinks;
        crashes = crashWatch;
        round();
    }

    private void round() {
        if (stopping) {
            return;
        }
        tries = 0;
        read();
    }

    private void again() {
        limitBuckets();
        wantLinks();
        executor.schedule(this::round, paceMillis(), TimeUnit.MILLISECONDS);
    }

    private long paceMillis() {
        if (!policy.has(Mechanism.FAST_RENEWAL)) {
            return RenewalInterval.nextMillis(true, true);
        }
        return RenewalInterval.nextMillis(leased(), reachesAllLeaseHolders());
    }

    private void wantLinks() {
        links.setPeers(ledger.livePeers(clock.now()));
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
        if (entry.key().equals(SECRET_KEY)) {
            entry.value().ifPresent(secret -> {
                secretSeen = true;
                links.start(secret);
            });
            return;
        }
        if (entry.key().startsWith(CrashReporter.KEY_PREFIX)) {
            crashes.heard(entry);
            return;
        }
        if (!entry.key().startsWith(VM_PREFIX)) {
            return;
        }
        String vm = entry.key().substring(VM_PREFIX.length());
        if (entry.value().isEmpty()) {
            ledger.removed(vm);
            return;
        }
        StoredRecords.shares(entry.value().get()).ifPresent(record -> ledger.seen(clock.now(), vm, record));
    }

    private void propose() {
        Optional<TrafficConfiguration> current = configuration.get();
        if (stopping || current.isEmpty()) {
            again();
            return;
        }
        long now = clock.now();
        Map<String, Double> bursts = new HashMap<>();
        current.get().accounts().forEach((name, account) -> bursts.put(name, account.burst()));
        Optional<LeaseRecord> proposal = ledger.propose(now, bursts);
        if (proposal.isEmpty()) {
            again();
            return;
        }
        send(now, proposal.get());
    }

    private void send(long sentMillis, LeaseRecord record) {
        ledger.sending(sentMillis, record);
        limitBuckets();
        List<MapEntry> entries = secretSeen
                ? List.of(MapEntry.of(key, StoredRecords.encode(record)))
                : List.of(MapEntry.of(key, StoredRecords.encode(record)), MapEntry.of(SECRET_KEY, newSecret()));
        map.append(SHARD, entries, OptionalLong.of(next), answer -> {
            if (answer instanceof AppendAnswer.Appended) {
                // Own records are read again in the next round, and with them a secret that this VM made.
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

    /** The first gateway of all makes the secret; the append's condition leaves only one that does. */
    private static byte[] newSecret() {
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        return secret;
    }

    private void limitBuckets() {
        long now = clock.now();
        configuration.get().ifPresent(current -> current.accounts().values().forEach(account -> {
            double part = (double) ledger.parts(now, account.name()) / QuotaLeases.ALL_PARTS;
            bucket(account.name()).limit(now, account.ratePerSecond() * part, account.burst() * part);
        }));
    }

    private TokenBucket bucket(String account) {
        return buckets.computeIfAbsent(account, ignored -> TokenBucket.create(clock.now()));
    }
}
