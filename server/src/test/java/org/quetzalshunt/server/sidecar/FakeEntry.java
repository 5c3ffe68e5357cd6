package org.quetzalshunt.server.sidecar;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.server.transport.LinkConnector;
import org.quetzalshunt.server.transport.LinkIdentity;
import org.quetzalshunt.server.transport.LinkListener;
import org.quetzalshunt.server.transport.LinkSettings;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.AttemptCancel;
import org.quetzalshunt.wire.generated.AttemptEnd;
import org.quetzalshunt.wire.generated.AttemptHead;
import org.quetzalshunt.wire.generated.AttemptResume;
import org.quetzalshunt.wire.generated.AttemptStart;
import org.quetzalshunt.wire.generated.EndpointReport;
import org.quetzalshunt.wire.generated.Message;

/** The entry side of a link: sends messages for a test and records those that it receives. */
final class FakeEntry implements LinkListener {
    private static final long WAIT_TIMEOUT_MILLIS = 8_000;
    private static final long POLL_INTERVAL_MILLIS = 5;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Message> messages = new CopyOnWriteArrayList<>();
    private final LinkConnector connector;
    private final AtomicInteger closeCount = new AtomicInteger();
    private volatile PeerLink link;

    private FakeEntry(VmId id, byte[] secret) {
        LinkIdentity self = new LinkIdentity(id, VmRole.ENTRY, "here");
        this.connector = LinkConnector.create(group, LinkSettings.of(self, secret), this);
    }

    static FakeEntry connect(VmId id, byte[] secret, int port) {
        FakeEntry entry = new FakeEntry(id, secret);
        entry.group
                .next()
                .execute(() -> entry.connector.setAddresses(
                        Set.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))));
        return entry;
    }

    FakeEntry awaitOpen() {
        await(() -> link != null);
        return this;
    }

    boolean isOpen() {
        return link != null;
    }

    int closeCount() {
        return closeCount.get();
    }

    void start(AttemptStart start) {
        send(Message.attemptStart(start));
    }

    void resume(long attempt, int from) {
        send(Message.attemptResume(new AttemptResume(attempt, from)));
    }

    void cancel(long attempt) {
        send(Message.attemptCancel(new AttemptCancel(attempt)));
    }

    void send(Message message) {
        group.next().execute(() -> link.send(message));
    }

    AttemptEnd awaitEnd(long attempt) {
        await(() -> ends(attempt).findFirst().isPresent());
        return ends(attempt).findFirst().orElseThrow();
    }

    void awaitChunks(long attempt, int count) {
        await(() -> chunks(attempt).size() >= count);
    }

    List<String> chunks(long attempt) {
        return list(Message::isSetAttemptChunk, Message::getAttemptChunk)
                .filter(chunk -> chunk.getAttempt() == attempt)
                .map(chunk -> new String(chunk.getData(), StandardCharsets.UTF_8))
                .toList();
    }

    List<Integer> statuses(long attempt) {
        return list(Message::isSetAttemptHead, Message::getAttemptHead)
                .filter(head -> head.getAttempt() == attempt)
                .map(AttemptHead::getStatus)
                .toList();
    }

    List<EndpointReport> reports() {
        return list(Message::isSetEndpointReport, Message::getEndpointReport).toList();
    }

    /** The newest report; reports are received while a test reads them. */
    EndpointReport lastReport() {
        List<EndpointReport> received = reports();
        return received.get(received.size() - 1);
    }

    void close() {
        group.shutdownGracefully(0, WAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("condition not met within " + WAIT_TIMEOUT_MILLIS + " ms");
            }
            sleep(POLL_INTERVAL_MILLIS);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            throw new IllegalStateException(stopped);
        }
    }

    @Override
    public void onOpen(PeerLink opened) {
        link = opened;
    }

    @Override
    public void onMessage(PeerLink from, Message message) {
        messages.add(message);
    }

    @Override
    public void onClose(PeerLink closed) {
        link = null;
        closeCount.incrementAndGet();
    }

    private Stream<AttemptEnd> ends(long attempt) {
        return list(Message::isSetAttemptEnd, Message::getAttemptEnd).filter(end -> end.getAttempt() == attempt);
    }

    private <T> Stream<T> list(Predicate<Message> kind, Function<Message, T> content) {
        return messages.stream().filter(kind).map(content);
    }
}
