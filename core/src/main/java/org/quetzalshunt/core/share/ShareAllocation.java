package org.quetzalshunt.core.share;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * Divides the slots of a service among its accounts by weighted max-min fairness: an account that uses less than its
 * share leaves the rest of it to the others.
 *
 * <p>Load pattern: three of 76 accounts of very unequal size send five times their usual load. Shares by quota rate
 * leave a large account its usual use, which equal shares would cut. The part of the slots that corresponds to an
 * account's weight among the accounts with requests is guaranteed, also while the slots are overcommitted for a moment
 * because an account returns from idle.
 */
final class ShareAllocation {
    /**
     * Slots that an account may always use. The use of a small account is not its mean, but none or that of one or two
     * programs.
     */
    private static final double MINIMUM_SLOTS = 2;

    /**
     * Standard deviations by which an account may exceed its weighted part. At a constant load, the number of requests
     * in flight varies like a Poisson variable.
     */
    private static final double ALLOWED_DEVIATIONS = 3;

    /**
     * Part of the requests queued at endpoints that is deducted from the slots to divide, so that the queues become
     * shorter. Without it, they stay as long as they are.
     */
    private static final double QUEUE_DEDUCTION = 0.5;

    /** The part of the slots that is divided however long the queues are. */
    private static final double MINIMUM_DIVIDED_PART = 0.7;

    /**
     * Queued requests for each slot up to which the guaranteed slots are not reduced. An account that returns from idle
     * causes such queues for a moment; longer ones mean that the guaranteed slots are more than there are.
     */
    private static final double GUARANTEED_QUEUE = 0.2;

    /** The part of the slots that use without an account name can take from the accounts. */
    private static final double MAXIMUM_UNNAMED_PART = 0.5;

    /**
     * An account above its share is recognised as such at a limit that varies by this part of the share from one
     * allocation to the next. The part of its starts that is refused therefore grows with its use; if all of them were
     * refused at once, its use would swing around the share.
     */
    private static final double LIMIT_SPREAD = 0.3;

    /** Halvings in the search for the level; the result is exact to a millionth of the slots. */
    private static final int SEARCH_STEPS = 30;

    private record Candidate(AccountRow row, double weight) {}

    private final ToDoubleFunction<String> quotaRate;
    private final SplittableRandom random;

    /**
     * Creates an allocation.
     *
     * @param quotaRate rate of an account's quota; not positive for an account without one, which counts as the mean
     */
    ShareAllocation(ToDoubleFunction<String> quotaRate, long seed) {
        this.quotaRate = quotaRate;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Converts the requests in flight of all rows to slots, and assigns the shares.
     *
     * @param unnamed use that belongs to no account
     */
    void assign(Collection<AccountRow> rows, AccountRow unnamed, double slots) {
        double inFlight = unnamed.fleetSlots;
        for (AccountRow row : rows) {
            inFlight += row.fleetSlots;
        }
        // Requests in queues at the endpoints lengthen the runs of all accounts alike and use no slots.
        double requestsPerSlot = slots > 0 ? Math.max(1, inFlight / slots) : 1;
        double queuedPerSlot = requestsPerSlot - 1;
        unnamed.fleetSlots /= requestsPerSlot;
        List<Candidate> active = new ArrayList<>();
        for (AccountRow row : rows) {
            row.fleetSlots /= requestsPerSlot;
            row.setUnrestricted();
            if (row.fleetSlots >= AccountRow.NEGLIGIBLE_SLOTS) {
                active.add(new Candidate(row, quotaRate.applyAsDouble(row.account)));
            }
        }
        int accounts = active.size() + (unnamed.fleetSlots < AccountRow.NEGLIGIBLE_SLOTS ? 0 : 1);
        if (accounts > 1) {
            double usedByUnnamed = Math.min(unnamed.fleetSlots, MAXIMUM_UNNAMED_PART * slots);
            divide(
                    withMeanWeight(active),
                    dividedPart(queuedPerSlot) * slots - usedByUnnamed,
                    dividedPart(queuedPerSlot - GUARANTEED_QUEUE) * slots - usedByUnnamed);
        }
    }

    private static double dividedPart(double queuedPerSlot) {
        return Math.max(MINIMUM_DIVIDED_PART, 1 - QUEUE_DEDUCTION * Math.max(0, queuedPerSlot));
    }

    private static List<Candidate> withMeanWeight(List<Candidate> candidates) {
        double mean = candidates.stream()
                .mapToDouble(Candidate::weight)
                .filter(ShareAllocation::isKnown)
                .average()
                .orElse(1);
        return candidates.stream()
                .map(each -> isKnown(each.weight()) ? each : new Candidate(each.row(), mean))
                .toList();
    }

    private static boolean isKnown(double weight) {
        return weight > 0 && weight < Double.POSITIVE_INFINITY;
    }

    private void divide(List<Candidate> active, double slots, double guaranteedSlots) {
        List<Candidate> candidates = active.stream()
                .filter(each -> each.row().fleetSlots > MINIMUM_SLOTS)
                .toList();
        double weights = 0;
        double highest = 0;
        double used = 0;
        for (Candidate each : active) {
            weights += each.weight();
            highest = Math.max(highest, each.row().fleetSlots / each.weight());
            used += each.row().fleetSlots;
        }
        if (used <= slots) {
            return;
        }
        double level = level(candidates, slots - usedBySmall(active), highest);
        for (Candidate each : candidates) {
            double factor = 1 + LIMIT_SPREAD * (2 * random.nextDouble() - 1);
            each.row().setShare(share(each.weight(), level), factor, guaranteedSlots * each.weight() / weights);
        }
    }

    private static double usedBySmall(List<Candidate> active) {
        return active.stream()
                .mapToDouble(each -> each.row().fleetSlots)
                .filter(slots -> slots <= MINIMUM_SLOTS)
                .sum();
    }

    private static double level(List<Candidate> candidates, double slots, double highestLevel) {
        double lowest = 0;
        double highest = highestLevel;
        for (int step = 0; step < SEARCH_STEPS; step++) {
            double level = (lowest + highest) / 2;
            boolean fits = usedAtLevel(candidates, level) <= slots;
            lowest = fits ? level : lowest;
            highest = fits ? highest : level;
        }
        return lowest;
    }

    private static double usedAtLevel(List<Candidate> candidates, double level) {
        double used = 0;
        for (Candidate each : candidates) {
            used += Math.min(each.row().fleetSlots, share(each.weight(), level));
        }
        return used;
    }

    private static double share(double weight, double level) {
        double part = weight * level;
        return Math.max(MINIMUM_SLOTS, part + ALLOWED_DEVIATIONS * Math.sqrt(part));
    }
}
