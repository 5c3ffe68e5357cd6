package org.quetzalshunt.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.quetzalshunt.core.routing.PeerCounts;

/**
 * Dispatch order of one VM: which first turns of programs are sent, wait or are refused. Requests of programs in
 * progress are not passed to it, so that they never wait here; they only count through the slots that they use.
 *
 * <p>Load pattern: bursts of some seconds bring several times the usual number of program starts, while in the calm a
 * third of the slots is in use. While slots are free, a first turn is sent at once.
 */
public final class Dispatcher {
    /** A peer's count is bounded by this, as its queue is; a greater number is an error of the peer. */
    private static final long MAXIMUM_PEER_WAITING = 400;

    /** Services in a peer's report; the configuration of a deployment names fewer. */
    private static final int MAXIMUM_PEER_SERVICES = 64;

    private static final int LEAST_URGENT = 9;

    /** State of this age is good enough for priorities, which are needed for each request. */
    private static final long PRIORITY_AGE_MILLIS = 20;

    private final SlotView view;
    private final ProgramForecasts forecasts = new ProgramForecasts();
    private final SplittableRandom random;
    private final Map<String, StartQueue> queues = new HashMap<>();
    private final Map<String, Long> peersWaitingByService = new HashMap<>();
    private final PeerCounts peersWaiting = new PeerCounts(this::addPeersWaiting);
    private ShareView shares = ShareView.none();

    private Dispatcher(SlotView view, long seed) {
        this.view = view;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Creates a dispatcher without waiting requests.
     *
     * @param seed differs between VMs, so that they do not act at the same moments
     */
    public static Dispatcher create(SlotView view, long seed) {
        return new Dispatcher(view, seed);
    }

    /** Sets the source of the accounts' shares. */
    public void setShares(ShareView shareView) {
        shares = shareView;
    }

    /** Decides about the first turn of a program. */
    public StartDecision offer(long nowMillis, ProgramStart start) {
        StartQueue queue = updated(nowMillis, start.service());
        StartDecision decision = queue.offer(nowMillis, start, shares);
        forecasts.recordStatements(start);
        return decision;
    }

    /** Removes and returns the waiting first turns that are to be sent or refused now. */
    public List<QueueExit> takeDue(long nowMillis) {
        List<QueueExit> due = new ArrayList<>();
        for (Map.Entry<String, StartQueue> each : queues.entrySet()) {
            if (each.getValue().size() > 0) {
                due.addAll(updated(nowMillis, each.getKey()).takeDue(nowMillis, shares));
            }
        }
        return due;
    }

    /** Returns the slot of a first turn that got one and was not sent, for lack of a rate token for example. */
    public void giveBack(String service) {
        queue(service).slots().giveBack();
    }

    /** Removes a first turn whose caller left; false if it does not wait. */
    public boolean withdraw(long id) {
        return queues.values().stream().anyMatch(queue -> queue.withdraw(id));
    }

    /** Removes and returns all waiting first turns, because this VM stops. */
    public List<ProgramStart> clear() {
        return queues.values().stream().flatMap(queue -> queue.clear().stream()).toList();
    }

    /** Number of waiting first turns by service; services without any are left out. */
    public Map<String, Integer> waiting() {
        Map<String, Integer> counts = new HashMap<>();
        queues.forEach((service, queue) -> {
            if (queue.size() > 0) {
                counts.put(service, queue.size());
            }
        });
        return counts;
    }

    /** Replaces the numbers of waiting first turns that a peer reported. */
    public void onPeerWaiting(String vm, Map<String, Integer> waiting) {
        Map<String, Long> bounded = new HashMap<>();
        waiting.entrySet().stream()
                .filter(each -> each.getKey() != null && each.getValue() != null)
                .limit(MAXIMUM_PEER_SERVICES)
                .forEach(each ->
                        bounded.put(each.getKey(), Math.max(0, Math.min(MAXIMUM_PEER_WAITING, each.getValue()))));
        peersWaiting.replace(vm, bounded);
    }

    private void addPeersWaiting(String service, long count) {
        long sum = peersWaitingByService.merge(service, count, Long::sum);
        if (sum <= 0) {
            peersWaitingByService.remove(service);
        }
    }

    /** Removes the counts of a peer that is dead or unreachable. */
    public void removePeer(String vm) {
        peersWaiting.remove(vm);
    }

    /** Whether first turns of a service are sent only as slots become free. */
    public boolean isShort(long nowMillis, String service) {
        return updated(nowMillis, service).slots().isShort();
    }

    /** Slots of the healthy endpoints of a service that this VM counts on. */
    public int slots(long nowMillis, String service) {
        return updated(nowMillis, service).slots().slots();
    }

    /** What programs need, learnt from the turns at this VM. */
    public ProgramForecasts forecasts() {
        return forecasts;
    }

    /**
     * Priority of a request at an engine, from 0 (first) to 9. All are alike while the gateways keep the order: a full
     * engine preempts a less urgent request for a more urgent one and reads its prompt again, which stalls its whole
     * batch. Only while far more requests are in flight than there are slots, they rank by urgency, since many
     * gateways with old reports may then have sent too many requests at once.
     */
    public int enginePriority(long nowMillis, String service, int urgency) {
        FreeSlots slots = queue(service).slots();
        if (nowMillis - slots.updatedMillis() >= PRIORITY_AGE_MILLIS) {
            slots = updated(nowMillis, service).slots();
        }
        return slots.isOvercommitted() ? Math.max(0, Math.min(LEAST_URGENT, urgency)) : 0;
    }

    /** State of a service. */
    public ServiceStatus status(long nowMillis, String service) {
        return updated(nowMillis, service).status(nowMillis, service);
    }

    /** State of all services that had first turns. */
    public List<ServiceStatus> status(long nowMillis) {
        return queues.entrySet().stream()
                .map(each -> updated(nowMillis, each.getKey()).status(nowMillis, each.getKey()))
                .toList();
    }

    private StartQueue updated(long nowMillis, String service) {
        StartQueue queue = queue(service);
        long peers = peersWaitingByService.getOrDefault(service, 0L);
        queue.update(nowMillis, service, view.use(nowMillis, service), view.liveVms(), peers);
        return queue;
    }

    private StartQueue queue(String service) {
        return queues.computeIfAbsent(service, ignored -> new StartQueue(forecasts, random.split()));
    }
}
