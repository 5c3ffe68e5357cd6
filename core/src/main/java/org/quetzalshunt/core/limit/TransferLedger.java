package org.quetzalshunt.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.agrona.collections.Long2ObjectHashMap;
import org.agrona.collections.LongHashSet;
import org.quetzalshunt.core.vm.VmId;

/**
 * Tracks transfers that were sent and not yet acknowledged, and those that were received.
 *
 * <p>Guards against duplicated and lost transfers. A duplicate would admit more than rate and burst in some window: the
 * receiver accepts each number of a sender once, and forgets numbers only when the sender reports that they are
 * settled. A loss would cause refusals within the rate: the sender retransmits a transfer until it is acknowledged. The
 * sender never cancels a transfer, since the receiver may have used it and died before it could acknowledge.
 */
final class TransferLedger {
    /** A peer within the region answers in a few milliseconds, so a retransmission after 100 ms is rare and cheap. */
    private static final long RETRANSMIT_MILLIS = 100;

    /**
     * An acknowledgement counts as a sign of life for this time, which is less than the time to detect a lost
     * connection.
     */
    private static final long RESPONSIVE_MILLIS = 250;

    private final Map<VmId, Outbox> outboxes = new HashMap<>();
    private final Map<VmId, Inbox> inboxes = new HashMap<>();
    private int pending;

    /** Numbers a transfer and keeps it until it is acknowledged. */
    LimitMessage.Transfer send(long nowMillis, VmId to, long generation, AccountKey key, long parts, long tokens) {
        Outbox outbox = outboxes.computeIfAbsent(to, vm -> new Outbox());
        long number = outbox.nextNumber++;
        LimitMessage.Transfer transfer =
                new LimitMessage.Transfer(generation, number, outbox.settledBelow, key, parts, tokens);
        outbox.unacknowledged.put(number, new Sent(transfer, nowMillis));
        pending++;
        return transfer;
    }

    void onAcknowledgement(long nowMillis, VmId by, long number) {
        Outbox outbox = outboxes.get(by);
        if (outbox == null || outbox.unacknowledged.remove(number) == null) {
            return;
        }
        pending--;
        outbox.acknowledgedMillis = nowMillis;
        while (outbox.settledBelow < outbox.nextNumber && !outbox.unacknowledged.containsKey(outbox.settledBelow)) {
            outbox.settledBelow++;
        }
    }

    /** Whether a peer acknowledged a transfer recently, so that it is very likely alive. */
    boolean isResponsive(long nowMillis, VmId peer) {
        Outbox outbox = outboxes.get(peer);
        return outbox != null && nowMillis - outbox.acknowledgedMillis <= RESPONSIVE_MILLIS;
    }

    /** Whether transfers to a peer are not acknowledged yet. */
    boolean isPending(VmId peer) {
        Outbox outbox = outboxes.get(peer);
        return outbox != null && !outbox.unacknowledged.isEmpty();
    }

    /** Records a transfer. Returns false if it is a duplicate. */
    boolean receive(VmId from, LimitMessage.Transfer transfer) {
        Inbox inbox = inboxes.computeIfAbsent(from, vm -> new Inbox());
        if (transfer.settledBelow() > inbox.settledBelow) {
            inbox.forgetBelow(transfer.settledBelow());
        }
        return transfer.transfer() >= inbox.settledBelow && inbox.received.add(transfer.transfer());
    }

    /** Passes on the transfers that are due for retransmission. */
    void retransmit(long nowMillis, BiConsumer<VmId, LimitMessage.Transfer> sender) {
        if (pending == 0) {
            return;
        }
        outboxes.forEach((vm, outbox) -> outbox.unacknowledged.values().forEach(sent -> {
            if (nowMillis - sent.sentMillis >= RETRANSMIT_MILLIS) {
                sent.sentMillis = nowMillis;
                sender.accept(vm, sent.transfer);
            }
        }));
    }

    int pending() {
        return pending;
    }

    long pendingParts(AccountKey key) {
        return outboxes.values().stream()
                .flatMap(outbox -> outbox.unacknowledged.values().stream())
                .filter(sent -> sent.transfer.key().equals(key))
                .mapToLong(sent -> sent.transfer.parts())
                .sum();
    }

    /** Discards all transfers when a new generation starts, in which those of the former one are void. */
    void clear() {
        outboxes.clear();
        inboxes.clear();
        pending = 0;
    }

    private static final class Outbox {
        final Long2ObjectHashMap<Sent> unacknowledged = new Long2ObjectHashMap<>();
        long nextNumber = 1;
        long settledBelow = 1;
        long acknowledgedMillis = Long.MIN_VALUE / 2;
    }

    private static final class Sent {
        final LimitMessage.Transfer transfer;
        long sentMillis;

        Sent(LimitMessage.Transfer transfer, long sentMillis) {
            this.transfer = transfer;
            this.sentMillis = sentMillis;
        }
    }

    private static final class Inbox {
        final LongHashSet received = new LongHashSet();
        long settledBelow = 1;

        void forgetBelow(long below) {
            for (long number = settledBelow; number < below; number++) {
                received.remove(number);
            }
            settledBelow = below;
        }
    }
}
