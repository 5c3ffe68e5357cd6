package org.quetzalshunt.core.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether this node's configuration is recent enough to serve requests, so that a node that cannot receive
 * changes stops accepting withdrawn keys and using replaced documents.
 *
 * <p>The configuration is fresh if one of these conditions was met within the time limit:
 *
 * <ul>
 *   <li>This node read the log to its end.
 *   <li>A peer read the log to its end, and no peer has reported a newer offset than this node has applied.
 *   <li>Every listed peer sent a report, and none has reported a newer offset. This keeps the nodes in service during
 *       a complete outage of the log: a change is acknowledged only by a node that has read it back from the log, and
 *       that node would report the newer offset.
 * </ul>
 *
 * <p>A single node that is cut off meets none of them. All ages are measured with this node's clock: a peer's report
 * counts as made at the time when this node sent the message that the peer echoed, which is before the actual time.
 */
public final class Freshness {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long limitMillis;
    private final Map<String, PeerReport> reports = new HashMap<>();
    private boolean hasPeerList;
    private long readMillis = NEVER;

    private Freshness(long limitMillis) {
        this.limitMillis = limitMillis;
    }

    /**
     * Creates an instance that is not fresh.
     *
     * @param limitMillis maximum age of a read or report
     */
    public static Freshness create(long limitMillis) {
        return new Freshness(limitMillis);
    }

    /** Reports that this node read the log to its end, by a read that started at this time. */
    public void onReadToEnd(long startedMillis) {
        readMillis = Math.max(readMillis, startedMillis);
    }

    /** Sets the current peers, without this node. They are the other nodes that can accept a change. */
    public void setPeers(Collection<String> peers) {
        hasPeerList = true;
        reports.keySet().retainAll(peers);
        peers.forEach(peer -> reports.putIfAbsent(peer, PeerReport.NONE));
    }

    /**
     * Processes a peer's report on its configuration.
     *
     * @param peer name of the peer; the report of a peer that is not listed is kept until the next list
     * @param configurationNext offset that the peer applies next
     * @param configurationAgeMillis age of the peer's own last read of the log; negative if it has none
     * @param reportedAfterMillis time on this node's clock before the report was made: when this node sent the message
     *     that the peer echoed
     */
    public void onPeerReport(
            String peer, long configurationNext, long configurationAgeMillis, long reportedAfterMillis) {
        PeerReport previous = reports.getOrDefault(peer, PeerReport.NONE);
        long read = configurationAgeMillis < 0 ? NEVER : reportedAfterMillis - configurationAgeMillis;
        reports.put(
                peer,
                new PeerReport(
                        Math.max(previous.next(), configurationNext),
                        Math.max(previous.madeAfterMillis(), reportedAfterMillis),
                        Math.max(previous.readMillis(), read)));
    }

    /**
     * Whether this node's configuration is fresh.
     *
     * @param configurationNext offset that this node applies next
     */
    public boolean isFresh(long nowMillis, long configurationNext) {
        long oldestAccepted = nowMillis - limitMillis;
        if (readMillis >= oldestAccepted) {
            return true;
        }
        if (reports.values().stream().anyMatch(report -> report.next() > configurationNext)) {
            return false;
        }
        if (reports.values().stream().anyMatch(report -> report.readMillis() >= oldestAccepted)) {
            return true;
        }
        return hasPeerList && reports.values().stream().allMatch(report -> report.madeAfterMillis() >= oldestAccepted);
    }

    /** Age of this node's last read of the log, in milliseconds; -1 if there was none. */
    public long ageMillis(long nowMillis) {
        return readMillis == NEVER ? -1 : nowMillis - readMillis;
    }

    private record PeerReport(long next, long madeAfterMillis, long readMillis) {
        static final PeerReport NONE = new PeerReport(0, NEVER, NEVER);
    }
}
