package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;
import org.quetzalshunt.core.quota.PeerTable;
import org.quetzalshunt.core.quota.RenewalInterval;
import org.quetzalshunt.core.quota.VmHeartbeat;
import org.quetzalshunt.core.quota.VmLease;
import org.quetzalshunt.core.store.AppendAnswer;
import org.quetzalshunt.core.store.ChangesAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapName;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RangeAnswer;
import org.quetzalshunt.wire.record.StoredRecords;

/**
 * Sends this VM's heartbeats and reads those of its peers, and with them what else concerns the whole fleet: the secret of
 * the links between gateways, and reports of requests that crash endpoints. Heartbeats are appended without a condition, so
 * that their cost does not grow with the number of VMs.
 */
final class FleetFollower {
    /** Receives what was read of the fleet. */
    interface Listener {
        /** All heartbeats were read, or a lease that had lapsed is in force again. */
        void onFleetRead();

        /** The secret of the links is known. */
        void onSecret(byte[] secret);

        /** A report of a crash, by its key. */
        void onCrashReport(MapEntry entry);
    }

    private static final MapShard SHARD = MapShard.only(MapName.FLEET);
    private static final String SECRET_KEY = "secret";
    private static final String HEARTBEAT_PREFIX = "heartbeat/";
    private static final int SECRET_BYTES = 32;

    private final EventExecutor executor;
    private final StoreClient map;
    private final NodeClock clock;
    private final DecisionLog log;
    private final Policy policy;
    private final String key;
    private final PeerTable peers;
    private final VmLease lease;
    private final BooleanSupplier settled;
    private Listener listener;
    private boolean secretSeen;
    private boolean sending;
    private boolean stopping;
    private boolean wasInForce;
    private long next = -1;
    /** Counts the rounds; answers and timers of a former one are void. */
    private int rounds;

    /**
     * Makes a follower that has read nothing.
     *
     * @param settled whether this VM holds the quota shares that it should own
     */
    FleetFollower(
            EventExecutor executor,
            StoreClient map,
            NodeClock clock,
            DecisionLog log,
            GatewaySettings settings,
            PeerTable peers,
            VmLease lease,
            BooleanSupplier settled) {
        this.executor = executor;
        this.map = map;
        this.clock = clock;
        this.log = log;
        this.policy = settings.policy();
        this.key = HEARTBEAT_PREFIX + settings.vm();
        this.peers = peers;
        this.lease = lease;
        this.settled = settled;
    }

    void start(Listener fleetListener) {
        listener = fleetListener;
        map.onRegained(this::round);
        round();
    }

    /** Ends this VM's lease, so that its peers take over its shares at once. */
    void stop() {
        stopping = true;
        append(List.of(entry(lease.lastHeartbeat())), OptionalLong.empty(), answer -> {});
    }

    private void round() {
        if (stopping) {
            return;
        }
        noteLease();
        rounds++;
        if (next < 0) {
            readWhole(rounds, "", -1);
        } else {
            readChanges(rounds);
        }
    }

    private void again(int round) {
        if (round != rounds) {
            return;
        }
        boolean calm = lease.inForce(clock.now()) && settled.getAsBoolean();
        boolean quick = policy.has(Mechanism.FAST_RENEWAL);
        long pause = RenewalInterval.nextMillis(calm || !quick);
        executor.schedule(() -> roundAfter(round), pause, TimeUnit.MILLISECONDS);
    }

    private void roundAfter(int round) {
        if (round == rounds) {
            round();
        }
    }

    private void readWhole(int round, String after, long firstEnd) {
        map.range(SHARD, after, answer -> {
            if (round != rounds) {
                return;
            }
            if (!(answer instanceof RangeAnswer.Page page)) {
                again(round);
                return;
            }
            page.entries().forEach(this::take);
            long end = firstEnd < 0 ? page.end() : firstEnd;
            if (page.more() && !page.entries().isEmpty()) {
                readWhole(round, page.entries().get(page.entries().size() - 1).key(), end);
                return;
            }
            peers.onSnapshot(clock.now());
            // What changed since the first page is read from there.
            next = end;
            readChanges(round);
        });
    }

    private void readChanges(int round) {
        long sent = clock.now();
        map.changes(SHARD, next, 0, answer -> {
            if (round != rounds) {
                return;
            }
            if (answer instanceof ChangesAnswer.Changes changes) {
                changes.entries().forEach(this::take);
                next = changes.next();
                if (next < changes.end()) {
                    readChanges(round);
                } else {
                    readComplete(round, sent);
                }
                return;
            }
            if (answer instanceof ChangesAnswer.Gone) {
                next = -1;
            }
            again(round);
        });
    }

    private void readComplete(int round, long sentMillis) {
        peers.onReadComplete(sentMillis);
        listener.onFleetRead();
        if (!sending && lease.renewalDue(clock.now())) {
            sendHeartbeat();
        }
        again(round);
    }

    private void take(MapEntry entry) {
        if (entry.key().equals(SECRET_KEY)) {
            entry.value().ifPresent(secret -> {
                secretSeen = true;
                listener.onSecret(secret);
            });
        } else if (entry.key().startsWith(CrashReporter.KEY_PREFIX)) {
            listener.onCrashReport(entry);
        } else if (entry.key().startsWith(HEARTBEAT_PREFIX)) {
            String vm = entry.key().substring(HEARTBEAT_PREFIX.length());
            entry.value()
                    .flatMap(StoredRecords::heartbeat)
                    .ifPresent(heartbeat -> peers.onHeartbeat(clock.now(), vm, heartbeat));
        }
    }

    private void sendHeartbeat() {
        long sent = clock.now();
        VmHeartbeat heartbeat = lease.nextHeartbeat(sent);
        List<MapEntry> entries = new ArrayList<>();
        entries.add(entry(heartbeat));
        if (!secretSeen) {
            // The first gateway of all makes the secret; the condition leaves only one that does.
            entries.add(MapEntry.of(SECRET_KEY, newSecret()));
        }
        OptionalLong condition = secretSeen ? OptionalLong.empty() : OptionalLong.of(next);
        sending = true;
        append(entries, condition, answer -> {
            sending = false;
            if (answer instanceof AppendAnswer.Appended) {
                onHeartbeatStored(sent, heartbeat);
                return;
            }
            log.line(log.event("heartbeat-not-stored")
                    .put("epoch", heartbeat.epoch())
                    .put("answer", answer.toString()));
        });
    }

    private void onHeartbeatStored(long sentMillis, VmHeartbeat heartbeat) {
        lease.renewed(clock.now(), sentMillis, heartbeat);
        noteLease();
        // A new process first reads who else is there: of many that start at once, none must claim everything.
        if (heartbeat.epoch() > VmLease.FIRST_EPOCH) {
            listener.onFleetRead();
        }
    }

    private void append(List<MapEntry> entries, OptionalLong condition, Consumer<AppendAnswer> answer) {
        map.append(SHARD, entries, condition, answer);
    }

    private MapEntry entry(VmHeartbeat heartbeat) {
        return MapEntry.of(key, StoredRecords.encode(heartbeat));
    }

    private static byte[] newSecret() {
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        return secret;
    }

    private void noteLease() {
        long now = clock.now();
        boolean inForce = lease.inForce(now);
        if (inForce == wasInForce) {
            return;
        }
        wasInForce = inForce;
        log.line(log.event(inForce ? "lease-in-force" : "lease-lapsed")
                .put("epoch", lease.term(now).epoch())
                .put("members", peers.members().size() + 1));
    }
}
