package org.quetzalshunt.server.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.MessageToMessageCodec;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.wire.generated.Message;
import org.quetzalshunt.wire.message.MessageCodec;

/** Frames: four bytes of length, then one message. */
final class LinkPipeline extends ChannelInitializer<SocketChannel> {
    private static final int LENGTH_BYTES = 4;

    /** Frames written in one turn of the event loop leave in one write; more of them than this do not wait for it. */
    private static final int FLUSHES_TOGETHER = 256;

    private final LinkSettings settings;
    private final LinkListener listener;
    private final boolean connector;

    LinkPipeline(LinkSettings settings, LinkListener listener, boolean connector) {
        this.settings = settings;
        this.listener = listener;
        this.connector = connector;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(settings.silenceMillis(), TimeUnit.MILLISECONDS))
                .addLast(new FlushConsolidationHandler(FLUSHES_TOGETHER, true))
                .addLast(new LengthFieldBasedFrameDecoder(MessageCodec.MAXIMUM_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new FrameCodec())
                .addLast(new LinkHandler(settings, listener, connector));
    }

    /** An unknown message of a newer version is passed over, so that a rolling upgrade works both ways. */
    private static final class FrameCodec extends MessageToMessageCodec<ByteBuf, Message> {
        @Override
        protected void encode(ChannelHandlerContext context, Message message, List<Object> out) {
            byte[] bytes = MessageCodec.encode(message);
            out.add(Unpooled.wrappedBuffer(
                    Unpooled.buffer(LENGTH_BYTES).writeInt(bytes.length), Unpooled.wrappedBuffer(bytes)));
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out) {
            Optional<Message> message = MessageCodec.decodeMessage(ByteBufUtil.getBytes(frame));
            message.ifPresent(out::add);
        }
    }
}
