package org.quetzalshunt.server.entry;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Validated settings of an entry.
 *
 * @param vm name of the VM
 * @param incarnation start time of the process in milliseconds, which is larger at each start
 * @param dataCentre data centre of the VM
 * @param host IP address to bind
 * @param httpPort port for callers and operators; 0 for any free port
 * @param linkPort port for other entries; 0 for any free port
 * @param platform address of the platform's services
 * @param secret shared secret of the deployment
 * @param shards number of shards; must be the same at all entries
 * @param commitIntervalMillis interval at which the records of a shard are batched into one append
 * @param operatorKeyHashes maps the SHA-256 of each operator key, in hex, to the operator's team
 * @param stopMillis time limit for a planned stop
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
    /** Default number of shards: several for each entry, yet few enough for the limit on the rate of appends. */
    public static final int DEFAULT_SHARDS = 16;
}
