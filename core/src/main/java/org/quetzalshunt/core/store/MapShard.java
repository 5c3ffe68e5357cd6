package org.quetzalshunt.core.store;

/**
 * A shard of a map. Records are totally ordered within a shard.
 *
 * @param map the map
 * @param number number of the shard, from 0
 */
public record MapShard(MapName map, int number) {
    /** Returns the shard of a map that has only one. */
    public static MapShard only(MapName map) {
        return new MapShard(map, 0);
    }
}
