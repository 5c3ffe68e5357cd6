package org.quetzalshunt.server.entry;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Settings of an entry, checked before.
 *
 * @param vm name of the VM
 * @param incarnation start time in milliseconds, larger at each start
 * @param dataCentre where it is
 * @param host IP number to bind
 * @param httpPort port for callers and operators; 0 for any
 * @param linkPort port for other entries; 0 for any
 * @param platform address of the platform's services
 * @param secret shared secret of the deployment
 * @param shards number of shards, equal at all entries
 * @param commitIntervalMillis time for which records of a shard are gathered into one append
 * @param operatorKeyHashes SHA-256 of an operator's key, in hex, to the team that it stands for
 * @param stopMillis longest time of a planned stop
 */
public record EntrySettings(
        String vm,
        long incarnation,
        String dataCentre,
        String host,
        int httpPort,
        int linkPort,
        InetSocketAddress platform,
        byte[] secret,
        int shards,
        long commitIntervalMillis,
        Map<String, String> operatorKeyHashes,
        long stopMillis) {
    /** Shards of a deployment that sets none: a few for each entry, few enough for the cap on appends. */
    public static final int DEFAULT_SHARDS = 16;
}
