package org.quetzalshunt.server.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.quetzalshunt.core.memory.MemoryUse;

/** Accounts for the parts of a body until the whole request is received; from then on, its exchange does. */
final class RequestBodyMeter extends ChannelInboundHandlerAdapter {
    private final ConnectionMemory memory;
    private final long maximumBodyBytes;
    private long receivedBytes;

    RequestBodyMeter(ConnectionMemory memory, long maximumBodyBytes) {
        this.memory = memory;
        this.maximumBodyBytes = maximumBodyBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof LastHttpContent) {
            memory.holder().release(MemoryUse.BODIES, receivedBytes);
            receivedBytes = 0;
        } else if (message instanceof HttpContent content) {
            receive(content.content().readableBytes());
        }
        if (!context.channel().isActive()) {
            ReferenceCountUtil.release(message);
            return;
        }
        super.channelRead(context, message);
    }

    /** Counts at most the size of a body that is accepted, since the rest of a larger one is discarded. */
    private void receive(long bytes) {
        long counted = Math.min(bytes, maximumBodyBytes - receivedBytes);
        receivedBytes += counted;
        memory.receive(counted);
    }
}
