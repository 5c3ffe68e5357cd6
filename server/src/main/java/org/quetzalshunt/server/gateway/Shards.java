package org.quetzalshunt.server.gateway;

import org.quetzalshunt.core.membership.Rendezvous;
import org.quetzalshunt.core.store.MapName;
import org.quetzalshunt.core.store.MapShard;

/** Where turns, budgets and quota shares lie in the shared map. Equal at all VMs and for ever. */
final class Shards {
    /** Small enough that a read of a range is a few turns at today's size: 960 shards of 60 s of 130 turns a second. */
    static final int TURNS = 960;

    /** Enough that two VMs seldom append to one shard within one round trip. */
    static final int BUDGETS = 120;

    /** Few accounts share a shard, so that their owners seldom conflict when all acquire shares at once. */
    static final int QUOTAS = 96;

    private static final String TURN_SEED = "turn";
    private static final String BUDGET_SEED = "budget";
    private static final String QUOTA_SEED = "quota";

    private Shards() {}

    static MapShard ofTurn(String id) {
        return new MapShard(MapName.TURNS, number(TURN_SEED, id, TURNS));
    }

    static MapShard ofProgram(String program) {
        return new MapShard(MapName.BUDGETS, number(BUDGET_SEED, program, BUDGETS));
    }

    static MapShard ofQuota(String account) {
        return new MapShard(MapName.QUOTAS, number(QUOTA_SEED, account, QUOTAS));
    }

    private static int number(String seed, String key, int shards) {
        return (int) Long.remainderUnsigned(Rendezvous.weight(seed, key), shards);
    }
}
