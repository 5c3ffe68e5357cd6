package org.quetzalshunt.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.agrona.collections.Long2ObjectHashMap;
import org.agrona.collections.LongHashSet;
import org.quetzalshunt.core.vm.VmId;

/**
 * Transfers on their way, and those that came.
 *
 * <p>Guards against a doubled and against a lost transfer. Doubled it would show as a window over its bound: the receiver
 * takes each number of a sender once, and forgets numbers only when the sender says that they are settled. Lost it would
 * show as refusals within the rate: the sender repeats it until it is acknowledged. The sender never takes a transfer
 * back, since the receiver may have used it and died before it could say so.
 */
final class TransferLedger {
    /** A peer within the region answers in a few milliseconds; a repeat after 100 is rare and cheap. */
    private static final long REPEAT_MILLIS = 100;

    /** An acknowledgement counts as a sign of life for this time, less than it takes to notice a lost connection. */
    private static final long RESPONSIVE_MILLIS = 250;

    private final Map<VmId, Outbox> outboxes = new HashMap<>();
    private final Map<VmId, Inbox> inboxes = new HashMap<>();
    private int pending;

    /** Numbers a transfer and keeps it until it is acknowledged. */
    LimitMessage.Transfer send(long nowMillis, VmId to, long generation, AccountKey key, long parts, long tokens) {
        Outbox outbox = outboxes.computeIfAbsent(to, vm -> new Outbox());
        long number = outbox.next++;
        LimitMessage.Transfer transfer =
                new LimitMessage.Transfer(generation, number, outbox.settledBelow, key, parts, tokens);
        outbox.unsettled.put(number, new Sent(transfer, nowMillis));
        pending++;
        return transfer;
    }

    void acknowledged(long nowMillis, VmId by, long number) {
        Outbox outbox = outboxes.get(by);
        if (outbox == null || outbox.unsettled.remove(number) == null) {
            return;
        }
        pending--;
        outbox.acknowledgedMillis = nowMillis;
        while (outbox.settledBelow < outbox.next && !outbox.unsettled.containsKey(outbox.settledBelow)) {
            outbox.settledBelow++;
        }
    }

    /** Whether a peer acknowledged a transfer of late, so that it surely lives. */
    boolean isResponsive(long nowMillis, VmId peer) {
        Outbox outbox = outboxes.get(peer);
        return outbox != null && nowMillis - outbox.acknowledgedMillis <= RESPONSIVE_MILLIS;
    }

    /** Whether transfers to a peer are not acknowledged yet. */
    boolean isPending(VmId peer) {
        Outbox outbox = outboxes.get(peer);
        return outbox != null && !outbox.unsettled.isEmpty();
    }

    /** Whether a transfer comes for the first time. */
    boolean receive(VmId from, LimitMessage.Transfer transfer) {
        Inbox inbox = inboxes.computeIfAbsent(from, vm -> new Inbox());
        if (transfer.settledBelow() > inbox.settledBelow) {
            inbox.settle(transfer.settledBelow());
        }
        return transfer.transfer() >= inbox.settledBelow && inbox.seen.add(transfer.transfer());
    }

    /** Hands over the transfers that are due to be sent again. */
    void repeat(long nowMillis, BiConsumer<VmId, LimitMessage.Transfer> sender) {
        if (pending == 0) {
            return;
        }
        outboxes.forEach((vm, outbox) -> outbox.unsettled.values().forEach(sent -> {
            if (nowMillis - sent.sentMillis >= REPEAT_MILLIS) {
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
                .flatMap(outbox -> outbox.unsettled.values().stream())
                .filter(sent -> sent.transfer.key().equals(key))
                .mapToLong(sent -> sent.transfer.parts())
                .sum();
    }

    /** Starts again with a new generation, in which nothing of the former one counts. */
    void clear() {
        outboxes.clear();
        inboxes.clear();
        pending = 0;
    }

    private static final class Outbox {
        final Long2ObjectHashMap<Sent> unsettled = new Long2ObjectHashMap<>();
        long next = 1;
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
        final LongHashSet seen = new LongHashSet();
        long settledBelow = 1;

        void settle(long below) {
            for (long number = settledBelow; number < below; number++) {
                seen.remove(number);
            }
            settledBelow = below;
        }
    }
}
