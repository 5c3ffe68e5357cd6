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
 * Renews the leases under which sidecars hold engine memory for the programs owned here, and ends them with the
 * program. Guards against engine memory held for programs that are gone: an owner that dies renews no more, and the
 * lease lapses at the sidecar.
 */
final class CacheKeeper {
    private static final long RENEW_MILLIS = AttemptOrders.CACHE_LEASE_MILLIS / 3;

    private final EntryClock clock;
    private final Scheduler scheduler;
    private final AttemptBoard attempts;
    private long renewedMillis;

    CacheKeeper(EntryClock clock, Scheduler scheduler, AttemptBoard attempts) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.attempts = attempts;
    }

    void tick(ShardHost shards) {
        if (clock.now() - renewedMillis < RENEW_MILLIS) {
            return;
        }
        renewedMillis = clock.now();
        shards.all().stream().filter(Shard::isOwned).forEach(this::renew);
    }

    private void renew(Shard shard) {
        Map<String, List<String>> byEndpoint = new HashMap<>();
        for (ProgramView program : shard.programs()) {
            if (program.endedCode().isEmpty()) {
                scheduler.cachedAt(program.id()).ifPresent(endpoint -> byEndpoint
                        .computeIfAbsent(endpoint, ignored -> new ArrayList<>())
                        .add(program.id()));
            }
        }
        byEndpoint.forEach((endpoint, programs) -> attempts.link(endpoint)
                .ifPresent(link -> link.send(Message.cacheRenew(
                        new CacheRenew(shard.number(), shard.epoch(), programs, AttemptOrders.CACHE_LEASE_MILLIS)))));
    }

    void programEnded(ShardHost shards, String program) {
        Shard shard = shards.shard(ShardNumbers.ofProgram(program, shards.count()));
        if (!shard.isOwned()) {
            return;
        }
        scheduler
                .cachedAt(program)
                .flatMap(attempts::link)
                .ifPresent(link ->
                        link.send(Message.cacheRelease(new CacheRelease(shard.number(), shard.epoch(), program))));
    }
}
