package org.quetzalshunt.core.dispatch;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.quetzalshunt.core.routing.BroadcastInterval;
import org.quetzalshunt.core.routing.ServiceUse;

/**
 * Decides how many first turns this VM may send to a service now.
 *
 * <p>Load pattern: a burst of programs reaches 30 or 300 gateways, each of which sees the others' requests as they were
 * 250 to 533 ms ago. If each filled the free slots that it sees, they would fill them many times over. While slots are
 * scarce, each gateway therefore earns credits at its share of the slots that are free or become free in a report
 * interval, and a first turn costs one credit. The part of programs that end is known without delay from the forecast,
 * so that the control does not have to wait for reports to see them leave.
 */
final class FreeSlots {
    /** Time between two reports of a peer in the same data centre. */
    private static final double REPORT_MILLIS = BroadcastInterval.millis(true, 0);

    /** Time from the release of a first turn until it is in flight: it fetches its token and its grant. */
    private static final long RELEASE_MILLIS = 25;

    /** Free part of the slots below which first turns are sent by credits only. */
    private static final double SHORT_BELOW = 0.15;

    /** Free part of the slots at which the shortage ends, if nothing waits. */
    private static final double ENOUGH_FROM = 0.25;

    /**
     * Requests in flight per slot up to which first turns are sent. Above 1, since the next request must already be at
     * the engine when one ends; a slot would otherwise be idle until the reports of that end arrive.
     */
    private static final double REQUESTS_PER_SLOT = 1.2;

    /** Requests in flight beyond those that should be, as a part of the slots, from which requests rank by urgency. */
    private static final double OVERCOMMITTED = 0.5;

    /** Part of its room that stays with programs in progress, in standard deviations of the number that return. */
    private static final double RESERVE_DEVIATIONS = 1;

    /** Credits that a gateway holds while there are enough slots: programs of one caller start together. */
    private static final double MINIMUM_CREDITS = 3;

    /** Credits that more urgent first turns may take in advance. Less urgent ones then wait until they are earned. */
    private static final double MAXIMUM_DEBT = 2;

    /** Time over which the rate of credits is averaged: free slots change with each turn that ends. */
    private static final double RATE_MILLIS = 500;

    /**
     * Part of the free slots that is divided equally among the gateways; the rest goes by their queues. By queues alone,
     * a gateway whose first turns were all refused would have no queue, get no slots and refuse for ever.
     */
    private static final double EQUAL_PART = 0.5;

    /** Part of the programs expected to end that is counted on: their forecast is too early when a burst begins. */
    private static final double ENDING_PART = 0.8;

    private final SplittableRandom random;
    private final ArrayDeque<Long> released = new ArrayDeque<>();
    private long updatedMillis = Long.MIN_VALUE / 2;
    private double meanInFlight;
    private double credits = MINIMUM_CREDITS;
    private double meanCreditsPerMilli;
    private double maximumCredits = MINIMUM_CREDITS;
    private double free;
    private int slots;
    private boolean shortage;

    FreeSlots(SplittableRandom random) {
        this.random = random;
    }

    /** Brings the state up to date with the reports known now. */
    void update(
            long nowMillis, ServiceUse use, int liveVms, ProgramForecast forecast, int ownWaiting, long peersWaiting) {
        int reportingVms = use.reportingPeers() + 1;
        // At least one slot while endpoints are known: 0 means that none is, and then nothing waits.
        slots = use.slots() == 0 ? 0 : Math.max(1, (int) Math.floor(use.slots() * knownPart(reportingVms, liveVms)));
        double inFlight = use.ownInFlight() + use.peersInFlight() + notYetInFlight(nowMillis);
        long elapsed = Math.max(0, nowMillis - updatedMillis);
        updatedMillis = nowMillis;
        meanInFlight += (inFlight - meanInFlight) * Math.min(1, elapsed / forecast.cycleMillis());
        // Programs whose turns all pause at the same time leave slots that they will soon need again.
        double expected = Math.max(inFlight, meanInFlight);
        free = REQUESTS_PER_SLOT * slots
                - expected
                - RESERVE_DEVIATIONS * Math.sqrt(expected * (1 - forecast.busyShare()));
        double ending = ENDING_PART * expected * REPORT_MILLIS / (forecast.turns() * forecast.turnMillis());
        double perReport = Math.max(0, free + ending);
        double queuePart = (ownWaiting + 1) / (double) (ownWaiting + peersWaiting + reportingVms);
        double share = EQUAL_PART / reportingVms + (1 - EQUAL_PART) * queuePart;
        boolean wasShort = shortage;
        updateShortage(ownWaiting + peersWaiting > 0);
        // Without a random part, all gateways would earn their next credit at the same time.
        boolean begins = shortage && !wasShort;
        credits = begins ? Math.min(credits, random.nextDouble()) : credits;
        updateCredits(begins ? 0 : elapsed, begins, share * perReport);
    }

    /**
     * Part of the slots that this VM and its reporting peers may use. With reports of less than half of the live VMs,
     * this VM is partitioned from the others, which continue to use their part. Otherwise the VMs without reports count
     * as lost, and nothing is reserved for them.
     */
    private static double knownPart(int reportingVms, int liveVms) {
        return 2 * reportingVms < liveVms ? reportingVms / (double) liveVms : 1;
    }

    private int notYetInFlight(long nowMillis) {
        while (!released.isEmpty() && nowMillis - released.peekFirst() >= RELEASE_MILLIS) {
            released.removeFirst();
        }
        return released.size();
    }

    private void updateShortage(boolean waiting) {
        boolean enough = !waiting && free >= ENOUGH_FROM * slots;
        shortage = shortage ? !enough : free < SHORT_BELOW * slots;
    }

    private void updateCredits(long elapsed, boolean shortageBegins, double ownPerReport) {
        double perReport = shortage ? ownPerReport : Math.max(MINIMUM_CREDITS, ownPerReport);
        maximumCredits = Math.max(1, perReport);
        double perMilli = perReport / REPORT_MILLIS;
        // The rate before the shortage does not predict the waits in it.
        double weight = shortageBegins ? 1 : Math.min(1, elapsed / RATE_MILLIS);
        meanCreditsPerMilli += (perMilli - meanCreditsPerMilli) * weight;
        credits = Math.min(maximumCredits, credits + elapsed * perMilli);
    }

    /** Takes the credit for one first turn; false if there is none. */
    boolean take(long nowMillis) {
        if (credits < 1) {
            return false;
        }
        spend(nowMillis, 1);
        return true;
    }

    /** Takes a credit, if necessary one that is earned in the next report intervals. */
    boolean borrow(long nowMillis) {
        if (take(nowMillis)) {
            return true;
        }
        if (credits < 1 - MAXIMUM_DEBT || free < -SHORT_BELOW * slots) {
            return false;
        }
        spend(nowMillis, 1);
        return true;
    }

    /**
     * Takes a credit if there is one, for a first turn that is sent in any case. It leaves no debt, which would make
     * more urgent first turns wait; the slot that it uses is seen as soon as the request is in flight.
     */
    void force(long nowMillis) {
        spend(nowMillis, Math.max(0, Math.min(1, credits)));
    }

    private void spend(long nowMillis, double amount) {
        credits -= amount;
        released.addLast(nowMillis);
    }

    /** Returns the credit of a first turn that was not sent after all. */
    void giveBack() {
        credits = Math.min(maximumCredits, credits + 1);
        released.pollLast();
    }

    double credits() {
        return credits;
    }

    /** Credits earned per millisecond in about the last half second. */
    double meanCreditsPerMilli() {
        return meanCreditsPerMilli;
    }

    double free() {
        return free;
    }

    int slots() {
        return slots;
    }

    long updatedMillis() {
        return updatedMillis;
    }

    /** Whether far more requests are in flight than there are slots. */
    boolean isOvercommitted() {
        return slots > 0 && free < -OVERCOMMITTED * slots;
    }

    boolean isShort() {
        return shortage;
    }
}
