package org.quetzalshunt.server.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quetzalshunt.core.decision.Scheduler;
import org.quetzalshunt.core.program.ProgramView;
import org.quetzalshunt.core.program.Shard;
import org.quetzalshunt.core.program.ShardNumbers;
import org.quetzalshunt.wire.generated.CacheRelease;
import org.quetzalshunt.wire.generated.CacheRenew;
import org.quetzalshunt.wire.generated.Message;

/**
 * Renews the leases on the cached prefixes of the programs owned by this entry, and releases a lease when its program
 * ends or moves to another endpoint. The leases prevent engine memory from being kept for programs that no longer
 * exist: if the owner crashes, renewals stop and the lease expires at the sidecar.
 */
final class CacheLeaseRenewer {
    private static final long RENEWAL_INTERVAL_MILLIS = AttemptStartFactory.CACHE_LEASE_MILLIS / 3;

    private final EntryClock clock;
    private final Scheduler scheduler;
    private final AttemptTracker attempts;
    private long lastRenewalMillis;

    CacheLeaseRenewer(EntryClock clock, Scheduler scheduler, AttemptTracker attempts) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.attempts = attempts;
    }

    void tick(ShardManager shards) {
        if (clock.now() - lastRenewalMillis < RENEWAL_INTERVAL_MILLIS) {
            return;
        }
        lastRenewalMillis = clock.now();
        shards.all().stream().filter(Shard::isOwned).forEach(this::renew);
    }

    private void renew(Shard shard) {
        Map<String, List<String>> programsByEndpoint = new HashMap<>();
        for (ProgramView program : shard.programs()) {
            if (program.endedCode().isEmpty()) {
                scheduler.prefixEndpoint(program.id()).ifPresent(endpoint -> programsByEndpoint
                        .computeIfAbsent(endpoint, ignored -> new ArrayList<>())
                        .add(program.id()));
            }
        }
        programsByEndpoint.forEach((endpoint, programs) -> attempts.link(endpoint)
                .ifPresent(link -> link.send(Message.cacheRenew(new CacheRenew(
                        shard.number(), shard.epoch(), programs, AttemptStartFactory.CACHE_LEASE_MILLIS)))));
    }

    void release(ShardManager shards, String program) {
        Shard shard = shards.shard(ShardNumbers.ofProgram(program, shards.count()));
        if (!shard.isOwned()) {
            return;
        }
        scheduler
                .prefixEndpoint(program)
                .flatMap(attempts::link)
                .ifPresent(link ->
                        link.send(Message.cacheRelease(new CacheRelease(shard.number(), shard.epoch(), program))));
    }
}
