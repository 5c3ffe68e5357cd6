package org.quetzalshunt.core.store;

/**
 * A part of a map that has one order of records.
 *
 * @param map the map
 * @param number from 0
 */
public record MapShard(MapName map, int number) {
    /** The shard of a map with one shard. */
    public static MapShard only(MapName map) {
        return new MapShard(map, 0);
    }
}
