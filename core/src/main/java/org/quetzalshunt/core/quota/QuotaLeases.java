package org.quetzalshunt.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.quetzalshunt.core.membership.Rendezvous;

/**
 * Parts of every account's rate and burst. A part is dealt to all VMs, the rest to the account's two homes, which give
 * single tokens to VMs whose own part has run out. A VM holds only what its record in the shared map says, and
 * raises it only by an append that expects the map as it was read, so that the parts of one account never add up to
 * more than the whole.
 *
 * <p>A holding is a lease: its VM uses it until {@link #LEASE_MILLIS} after it sent the record, others count on it for
 * {@link #OBSERVED_MILLIS} after they first saw the record. Each side measures on its own monotonic clock, and a record
 * is seen after it was sent, so the holder always stops first. Guards against a VM that is cut off or frozen and goes
 * on spending what another has taken over; shows as an account that gets more than its rate.
 *
 * <p>Load pattern: programs, which send a handful of calls at once through one VM and then none. With all parts dealt
 * over the VMs by demand, one VM's part holds no such handful, and tries are refused though the account is within its rate;
 * with the homes, nearly the whole account's burst is behind each VM. Two homes, so that the loss of
 * the first leaves some of the rate usable until its lease has run out.
 */
public final class QuotaLeases {
    /** The whole of an account's rate. */
    public static final int ALL_PARTS = 10_000;

    /** A VM that cannot reach the map refuses keyed requests after five seconds anyway; a little more loses nothing. */
    public static final long LEASE_MILLIS = 6_000;

    /** The lease, and a second for the drift of two clocks and a record that landed late. */
    public static final long OBSERVED_MILLIS = 7_500;

    /** A third of the lease: one renewal may fail. */
    private static final long RENEW_MILLIS = 2_000;

    /**
     * Dealt to all VMs evenly, so that one without links serves on. Little, since what lies at a VM where an account is
     * quiet is of no use where it is not. Where a VM's part of the burst would be less than one token, it could never be spent, and
     * a tenth of the rate would be lost: then the homes have it too.
     */
    private static final double DEALT = 0.1;

    /**
     * Of what is not dealt: for the account's first home, which is asked first, and its second, which remains when the
     * first is lost.
     */
    private static final double[] HOMES = {0.667, 0.333};

    /** The two homes, and one that was a home a moment ago. */
    private static final int MOST_ASKED = 3;

    /** A change below this part of a holding is not worth an append. */
    private static final double WORTH_CHANGING = 0.2;

    private final String self;
    private final long incarnation;
    private final String linkAddress;
    private final Map<String, Holder> others = new HashMap<>();
    private final Map<String, List<String>> homes = new HashMap<>();
    private Map<String, Holder> live = Map.of();
    private Map<String, QuotaShare> held = Map.of();
    private long sequence;
    private long sentMillis = Long.MIN_VALUE / 2;

    private QuotaLeases(String self, long incarnation, String linkAddress) {
        this.self = self;
        this.incarnation = incarnation;
        this.linkAddress = linkAddress;
    }

    /** Makes a ledger that holds nothing. */
    public static QuotaLeases create(String self, long incarnation, String linkAddress) {
        return new QuotaLeases(self, incarnation, linkAddress);
    }

    /** A record of the map was seen; records of this VM's former life are void, since that process is gone. */
    public void seen(long nowMillis, String vm, LeaseRecord record) {
        if (vm.equals(self)) {
            return;
        }
        Holder holder = others.get(vm);
        if (holder != null
                && holder.record.incarnation() == record.incarnation()
                && holder.record.sequence() == record.sequence()) {
            return;
        }
        others.put(vm, new Holder(record, nowMillis));
    }

    /** A VM's record was removed, in a planned stop. */
    public void removed(String vm) {
        others.remove(vm);
    }

    /** Records of the other VMs whose leases may still be in use, by VM. */
    public Map<String, LeaseRecord> livePeers(long nowMillis) {
        Map<String, LeaseRecord> records = new HashMap<>();
        liveAt(nowMillis).forEach((vm, holder) -> records.put(vm, holder.record));
        return records;
    }

    private Map<String, Holder> liveAt(long nowMillis) {
        Map<String, Holder> holders = new HashMap<>(others);
        holders.values().removeIf(holder -> !holder.live(nowMillis));
        return holders;
    }

    /** The account's two homes among the live VMs, the first to be asked first; alike at all VMs with the same view. */
    List<String> homes(String account) {
        return homes.computeIfAbsent(account, this::chooseHomes);
    }

    /**
     * The VMs to ask for a token of the account, those that hold most of it first. While VMs come and go these are not
     * its homes of the moment: a new home holds nothing until the former one has given up its part.
     */
    public List<String> holders(String account) {
        Map<String, Integer> parts = new HashMap<>();
        live.forEach((vm, holder) -> parts.put(vm, holder.share(account).parts()));
        parts.put(self, held.getOrDefault(account, QuotaShare.NONE).parts());
        return parts.entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .sorted(Map.Entry.<String, Integer>comparingByValue()
                        .reversed()
                        .thenComparing(Map.Entry.comparingByKey()))
                .limit(MOST_ASKED)
                .map(Map.Entry::getKey)
                .toList();
    }

    private List<String> chooseHomes(String account) {
        List<String> vms = new ArrayList<>(live.keySet());
        vms.add(self);
        Optional<String> first = Rendezvous.winner(account, vms);
        first.ifPresent(vms::remove);
        Optional<String> second = Rendezvous.winner(account, vms);
        return Stream.of(first, second).flatMap(Optional::stream).toList();
    }

    /** Takes the live ones anew. Records of dead VMs stay known, so that reading one again does not revive it. */
    private void refresh(long nowMillis) {
        Map<String, Holder> now = liveAt(nowMillis);
        if (!now.keySet().equals(live.keySet())) {
            homes.clear();
        }
        live = now;
    }

    /**
     * The record to append now, if there is reason to.
     *
     * @param bursts burst of each account, by its name
     */
    public Optional<LeaseRecord> propose(long nowMillis, Map<String, Double> bursts) {
        refresh(nowMillis);
        Map<String, QuotaShare> base = leased(nowMillis) ? held : Map.of();
        Map<String, QuotaShare> wanted = new HashMap<>();
        boolean changed = nowMillis - sentMillis >= RENEW_MILLIS;
        for (Map.Entry<String, Double> burst : bursts.entrySet()) {
            String account = burst.getKey();
            int before = base.getOrDefault(account, QuotaShare.NONE).parts();
            int parts = Math.min(target(account, burst.getValue()), room(account));
            boolean significant = Math.abs(parts - before) > WORTH_CHANGING * Math.max(before, 1);
            changed |= significant;
            wanted.put(account, new QuotaShare(significant ? parts : Math.min(before, room(account))));
        }
        if (!changed) {
            return Optional.empty();
        }
        return Optional.of(new LeaseRecord(incarnation, sequence + 1, Map.copyOf(wanted), linkAddress));
    }

    private int target(String account, double burst) {
        double evenPart = DEALT / (live.size() + 1);
        double dealt = burst * evenPart < 1 ? 0 : DEALT;
        List<String> homes = homes(account);
        int rank = homes.indexOf(self);
        double home = rank < 0 ? 0 : homes.size() == 1 ? 1 : HOMES[rank];
        return (int) ((dealt > 0 ? evenPart : 0) * ALL_PARTS + (1 - dealt) * home * ALL_PARTS);
    }

    private int room(String account) {
        int taken = 0;
        for (Holder holder : live.values()) {
            taken += holder.share(account).parts();
        }
        return Math.max(0, ALL_PARTS - taken);
    }

    /** A proposal is about to be sent: what it gives up is not used from now on. */
    public void sending(long nowMillis, LeaseRecord record) {
        Map<String, QuotaShare> lower = new HashMap<>();
        if (leased(nowMillis)) {
            record.shares().forEach((account, share) -> {
                int before = held.getOrDefault(account, QuotaShare.NONE).parts();
                lower.put(account, new QuotaShare(Math.min(before, share.parts())));
            });
        }
        held = Map.copyOf(lower);
        sequence = record.sequence();
    }

    /** A proposal is kept in the map: it holds from when it was sent. */
    public void kept(long sentAtMillis, LeaseRecord record) {
        held = record.shares();
        sentMillis = sentAtMillis;
    }

    /** Lapses at once, after a pause of this process of unknown length. */
    public void lapse() {
        held = Map.of();
        sentMillis = Long.MIN_VALUE / 2;
    }

    /** Parts of an account that this VM may use now. */
    public int parts(long nowMillis, String account) {
        return leased(nowMillis) ? held.getOrDefault(account, QuotaShare.NONE).parts() : 0;
    }

    /** Whether this VM's lease holds. */
    public boolean leased(long nowMillis) {
        return nowMillis - sentMillis < LEASE_MILLIS;
    }

    private record Holder(LeaseRecord record, long seenMillis) {
        boolean live(long nowMillis) {
            return nowMillis - seenMillis < OBSERVED_MILLIS;
        }

        QuotaShare share(String account) {
            return record.shares().getOrDefault(account, QuotaShare.NONE);
        }
    }
}
