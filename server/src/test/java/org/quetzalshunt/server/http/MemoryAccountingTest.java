package org.quetzalshunt.server.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.quetzalshunt.core.memory.MemoryBudget;
import org.quetzalshunt.core.memory.MemoryUse;

/** Accounting of connections without sockets. */
final class MemoryAccountingTest {
    private static final int REQUESTS = 100_000;
    private static final int REQUESTS_PER_CONNECTION = 20;
    private static final HttpLimits LIMITS = new HttpLimits(8_192, 10_000, 60_000, 1_000);

    private final MemoryBudget budget = MemoryBudget.of(1_000_000_000);
    private final Random random = new Random(1);
    private final Queue<ChannelPromise> unread = new ArrayDeque<>();
    private CallerMemory memory;

    /** Leaves some writes unread, as for a caller whose window is full. */
    private final class UnreadWrites extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
            if (random.nextInt(4) == 0) {
                unread.add(promise);
            } else {
                promise.setSuccess();
            }
        }
    }

    private EmbeddedChannel connect() {
        EmbeddedChannel channel = new EmbeddedChannel();
        if (memory == null) {
            memory = CallerMemory.within(budget, channel.eventLoop(), () -> true, () -> true, (cause, heldBytes) -> {});
        }
        ConnectionMemory connection = new ConnectionMemory(memory);
        channel.pipeline().addLast(new UnreadWrites(), new RequestBodyMeter(connection, 10_000));
        HttpConnection handler =
                new HttpConnection(LIMITS, this::handle, new HashSet<>(), connection, () -> ConnectionReuse.ALLOWED);
        channel.pipeline().addLast(handler);
        channel.pipeline().fireChannelActive();
        return channel;
    }

    private void handle(HttpExchange exchange) {
        exchange.memory().hold(MemoryUse.EVENTS, 100);
        exchange.memory().move(MemoryUse.BODIES, MemoryUse.REQUESTS, 50);
        exchange.memory().move(MemoryUse.REQUESTS, MemoryUse.BODIES, 50);
        if (random.nextInt(50) == 0) {
            exchange.abort();
            return;
        }
        if (random.nextBoolean()) {
            exchange.respond(200, Map.of(), new byte[random.nextInt(5_000)]);
        } else {
            exchange.begin(200, Map.of());
            exchange.write(new byte[random.nextInt(5_000)]);
            exchange.end();
        }
        exchange.memory().release(MemoryUse.EVENTS, 100);
    }

    private FullHttpRequest request() {
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(new byte[random.nextInt(500)]));
    }

    /** Guards against a sum that grows with every request, until the gateway refuses all requests. */
    @Test
    void sumIsZeroAfterManyRequests() {
        for (int request = 0; request < REQUESTS; request += REQUESTS_PER_CONNECTION) {
            EmbeddedChannel channel = connect();
            for (int number = 0; number < REQUESTS_PER_CONNECTION && channel.isActive(); number++) {
                if (random.nextInt(3) == 0) {
                    channel.writeInbound(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[200])));
                }
                channel.writeInbound(request());
                completeSome();
                channel.runPendingTasks();
            }
            if (random.nextBoolean()) {
                unread.forEach(ChannelPromise::trySuccess);
            }
            channel.finishAndReleaseAll();
            unread.forEach(promise -> promise.tryFailure(new IllegalStateException("closed")));
            unread.clear();
        }
        for (MemoryUse use : MemoryUse.values()) {
            assertThat(budget.held(use)).isEqualTo(0);
        }
        assertThat(budget.peak()).isGreaterThan(0);
        assertThat(budget.held()).isEqualTo(0);
        assertThat(budget.holders()).isEqualTo(0);
    }

    private void completeSome() {
        while (!unread.isEmpty() && random.nextBoolean()) {
            unread.remove().trySuccess();
        }
    }
}
