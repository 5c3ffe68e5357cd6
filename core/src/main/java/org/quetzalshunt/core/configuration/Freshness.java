package org.quetzalshunt.core.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * A node's proof that its configuration is current. Guards against a withdrawn key or a replaced document that stays
 * in use at a node which cannot hear of the change.
 *
 * <p>Any of three proofs will do, each no older than the limit: an own read of the log to its end; the word of one peer
 * that read the log itself and found nothing beyond what is folded here; or the word of every peer listed that it knows
 * of nothing beyond that. The last holds in a whole outage of the log: a change is accepted only by a peer that reads
 * it back, and that peer would say so. A node cut off alone has none of the three.
 *
 * <p>Ages are measured on this node's clock alone: what a peer says is dated by the moment at which this node sent the
 * message that the peer echoed, which is before it spoke.
 */
public final class Freshness {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long limitMillis;
    private final Map<String, Word> words = new HashMap<>();
    private boolean peersKnown;
    private long readMillis = NEVER;

    private Freshness(long limitMillis) {
        this.limitMillis = limitMillis;
    }

    /**
     * Makes one without proof.
     *
     * @param limitMillis age at which a proof no longer counts
     */
    public static Freshness create(long limitMillis) {
        return new Freshness(limitMillis);
    }

    /** The log was read to its end by a read that started at this time. */
    public void readToEnd(long startedMillis) {
        readMillis = Math.max(readMillis, startedMillis);
    }

    /** The peers listed now, without this node: those that can accept a change. */
    public void peersListed(Collection<String> peers) {
        peersKnown = true;
        words.keySet().retainAll(peers);
        peers.forEach(peer -> words.putIfAbsent(peer, Word.NONE));
    }

    /**
     * A peer said where its configuration stands.
     *
     * @param peer its name; one that is not listed counts once it is
     * @param configurationNext offset that it folds next
     * @param configurationAgeMillis age of its own last read of the log, negative when it has none
     * @param spokenAfterMillis a time on this node's clock before the peer spoke: when this node sent what it echoed
     */
    public void heard(String peer, long configurationNext, long configurationAgeMillis, long spokenAfterMillis) {
        Word former = words.getOrDefault(peer, Word.NONE);
        long read = configurationAgeMillis < 0 ? NEVER : spokenAfterMillis - configurationAgeMillis;
        words.put(
                peer,
                new Word(
                        Math.max(former.next(), configurationNext),
                        Math.max(former.spokenMillis(), spokenAfterMillis),
                        Math.max(former.readMillis(), read)));
    }

    /**
     * Whether there is proof.
     *
     * @param configurationNext offset that this node folds next
     */
    public boolean fresh(long nowMillis, long configurationNext) {
        long since = nowMillis - limitMillis;
        if (readMillis >= since) {
            return true;
        }
        if (words.values().stream().anyMatch(word -> word.next() > configurationNext)) {
            return false;
        }
        if (words.values().stream().anyMatch(word -> word.readMillis() >= since)) {
            return true;
        }
        return peersKnown && words.values().stream().allMatch(word -> word.spokenMillis() >= since);
    }

    /** Age of the newest read of the log by this node, in milliseconds; -1 when it never read it. */
    public long ageMillis(long nowMillis) {
        return readMillis == NEVER ? -1 : nowMillis - readMillis;
    }

    private record Word(long next, long spokenMillis, long readMillis) {
        static final Word NONE = new Word(0, NEVER, NEVER);
    }
}
