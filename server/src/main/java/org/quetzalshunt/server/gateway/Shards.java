package org.quetzalshunt.server.gateway;

import org.quetzalshunt.core.membership.Rendezvous;
import org.quetzalshunt.core.store.MapName;
import org.quetzalshunt.core.store.MapShard;

/**
 * Maps turns, budgets and quota shares to shards of the store. The mapping must be the same at all VMs and must never
 * change, since stored records are found by it.
 */
final class Shards {
    /**
     * Enough that a range read returns only a few turns at the expected load: 960 shards with 60 s of 130 turns per
     * second.
     */
    static final int TURNS = 960;

    /** Enough that two VMs rarely append to the same shard within one round trip. */
    static final int BUDGETS = 120;

    /**
     * Enough that few accounts share a shard, so that their owners rarely conflict when all acquire shares at the same
     * time.
     */
    static final int QUOTAS = 96;

    private static final String TURN_SEED = "turn";
    private static final String BUDGET_SEED = "budget";
    private static final String QUOTA_SEED = "quota";

    private Shards() {}

    static MapShard ofTurn(String id) {
        return new MapShard(MapName.TURNS, shardNumber(TURN_SEED, id, TURNS));
    }

    static MapShard ofProgram(String program) {
        return new MapShard(MapName.BUDGETS, shardNumber(BUDGET_SEED, program, BUDGETS));
    }

    static MapShard ofQuota(String account) {
        return new MapShard(MapName.QUOTAS, shardNumber(QUOTA_SEED, account, QUOTAS));
    }

    private static int shardNumber(String seed, String key, int shards) {
        return (int) Long.remainderUnsigned(Rendezvous.weight(seed, key), shards);
    }
}
