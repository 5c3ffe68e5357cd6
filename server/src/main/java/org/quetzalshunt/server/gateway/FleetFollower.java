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
 * Sends this VM's heartbeats and reads those of its peers, together with the other fleet-wide records: the secret of
 * the links between gateways, and reports of requests that crash endpoints. Heartbeats are appended unconditionally,
 * so that their cost does not grow with the number of VMs.
 */
final class FleetFollower {
    /** Receives the records of the fleet. */
    interface Listener {
        /** All heartbeats were read, or, once the lease has lapsed, a heartbeat that renews it was stored. */
        void onFleetRead();

        /** The shared secret of the links was read. */
        void onSecret(byte[] secret);

        /** A record that reports a crash was read. */
        void onCrashReport(MapEntry entry);
    }

    private static final MapShard SHARD = MapShard.only(MapName.FLEET);
    private static final String SECRET_KEY = "secret";
    private static final String HEARTBEAT_PREFIX = "heartbeat/";
    private static final int SECRET_BYTES = 32;

    private final EventExecutor executor;
    private final StoreClient store;
    private final NodeClock clock;
    private final DecisionLog log;
    private final Policy policy;
    private final String key;
    private final PeerTable peers;
    private final VmLease lease;
    private final BooleanSupplier settled;
    private final RecordIntake intake;
    private Listener listener;
    private boolean secretSeen;
    private boolean heartbeatPending;
    private boolean stopping;
    private boolean wasInForce;
    private long next = -1;
    /** Number of the current round of reads; responses and timers of earlier rounds are ignored. */
    private int currentRound;

    /**
     * Creates a follower that has not read anything.
     *
     * @param settled whether this VM holds all quota shares that it should own
     */
    FleetFollower(
            EventExecutor executor,
            StoreClient store,
            NodeClock clock,
            DecisionLog log,
            GatewaySettings settings,
            PeerTable peers,
            VmLease lease,
            BooleanSupplier settled) {
        this.executor = executor;
        this.store = store;
        this.clock = clock;
        this.log = log;
        this.policy = settings.policy();
        this.key = HEARTBEAT_PREFIX + settings.vm();
        this.peers = peers;
        this.lease = lease;
        this.settled = settled;
        this.intake = new RecordIntake(log, "fleet");
    }

    void start(Listener fleetListener) {
        listener = fleetListener;
        store.onRecovered(this::startRound);
        startRound();
    }

    /** Ends this VM's lease, so that its peers take over its shares at once. */
    void stop() {
        stopping = true;
        append(List.of(entry(lease.endWithFinalHeartbeat())), OptionalLong.empty(), answer -> {});
    }

    private void startRound() {
        if (stopping) {
            return;
        }
        logLeaseChange();
        currentRound++;
        if (next < 0) {
            readAll(currentRound, "", -1);
        } else {
            readChanges(currentRound);
        }
    }

    private void scheduleNextRound(int round) {
        if (round != currentRound) {
            return;
        }
        boolean leasedAndSettled = lease.inForce(clock.now()) && settled.getAsBoolean();
        boolean fastRenewal = policy.isEnabled(Mechanism.FAST_RENEWAL);
        long intervalMillis = RenewalInterval.nextMillis(leasedAndSettled || !fastRenewal);
        executor.schedule(() -> startRoundIfCurrent(round), intervalMillis, TimeUnit.MILLISECONDS);
    }

    private void startRoundIfCurrent(int round) {
        if (round == currentRound) {
            startRound();
        }
    }

    private void readAll(int round, String after, long firstEnd) {
        store.range(SHARD, after, answer -> {
            if (round != currentRound) {
                return;
            }
            if (!(answer instanceof RangeAnswer.Page page)) {
                scheduleNextRound(round);
                return;
            }
            page.entries().forEach(entry -> intake.apply(entry, this::apply));
            long end = firstEnd < 0 ? page.end() : firstEnd;
            if (page.continuation().isPresent()) {
                readAll(round, page.continuation().get(), end);
                return;
            }
            peers.onSnapshot(clock.now());
            // Pages are not a snapshot: later changes are read from the end offset of the first page.
            next = end;
            readChanges(round);
        });
    }

    private void readChanges(int round) {
        long sentMillis = clock.now();
        store.changes(SHARD, next, 0, answer -> {
            if (round != currentRound) {
                return;
            }
            if (answer instanceof ChangesAnswer.Changes changes) {
                changes.entries().forEach(entry -> intake.apply(entry, this::apply));
                next = changes.next();
                if (next < changes.end()) {
                    readChanges(round);
                } else {
                    readComplete(round, sentMillis);
                }
                return;
            }
            if (answer instanceof ChangesAnswer.Gone) {
                next = -1;
            }
            scheduleNextRound(round);
        });
    }

    private void readComplete(int round, long sentMillis) {
        peers.onReadComplete(sentMillis);
        listener.onFleetRead();
        if (!heartbeatPending && lease.renewalDue(clock.now())) {
            sendHeartbeat();
        }
        scheduleNextRound(round);
    }

    private void apply(MapEntry entry) {
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
                    .ifPresentOrElse(
                            heartbeat -> {
                                intake.accept(entry.key());
                                peers.onHeartbeat(clock.now(), vm, heartbeat);
                            },
                            () -> refuseUnlessRemoved(entry));
        }
    }

    private void refuseUnlessRemoved(MapEntry entry) {
        if (entry.value().isPresent()) {
            intake.refuse(entry.key(), "not a heartbeat");
        } else {
            intake.accept(entry.key());
        }
    }

    private void sendHeartbeat() {
        long sentMillis = clock.now();
        VmHeartbeat heartbeat = lease.nextHeartbeat(sentMillis);
        List<MapEntry> entries = new ArrayList<>();
        entries.add(entry(heartbeat));
        if (!secretSeen) {
            // The first gateway of the fleet creates the secret; the condition lets only one append succeed.
            entries.add(MapEntry.of(SECRET_KEY, newSecret()));
        }
        OptionalLong condition = secretSeen ? OptionalLong.empty() : OptionalLong.of(next);
        heartbeatPending = true;
        append(entries, condition, answer -> {
            heartbeatPending = false;
            if (answer instanceof AppendAnswer.Appended) {
                onHeartbeatStored(sentMillis, heartbeat);
                return;
            }
            log.write(log.event("heartbeat-not-stored")
                    .put("epoch", heartbeat.epoch())
                    .put("answer", answer.toString()));
        });
    }

    private void onHeartbeatStored(long sentMillis, VmHeartbeat heartbeat) {
        lease.onRenewalAcknowledged(clock.now(), sentMillis, heartbeat);
        logLeaseChange();
        // A new process reads the heartbeats of its peers first, so that of many that start at once, none claims all
        // quota shares.
        if (heartbeat.epoch() > VmLease.FIRST_EPOCH) {
            listener.onFleetRead();
        }
    }

    private void append(List<MapEntry> entries, OptionalLong condition, Consumer<AppendAnswer> answer) {
        store.append(SHARD, entries, condition, answer);
    }

    private MapEntry entry(VmHeartbeat heartbeat) {
        return MapEntry.of(key, StoredRecords.encode(heartbeat));
    }

    private static byte[] newSecret() {
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        return secret;
    }

    private void logLeaseChange() {
        long now = clock.now();
        boolean inForce = lease.inForce(now);
        if (inForce == wasInForce) {
            return;
        }
        wasInForce = inForce;
        log.write(log.event(inForce ? "lease-in-force" : "lease-lapsed")
                .put("epoch", lease.term(now).epoch())
                .put("members", peers.members().size() + 1));
    }
}
