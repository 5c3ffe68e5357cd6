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

/** Sets up the channel of a link. A frame is a length of four bytes followed by one message. */
final class LinkChannelInitializer extends ChannelInitializer<SocketChannel> {
    private static final int LENGTH_BYTES = 4;

    /** Frames written in one iteration of the event loop are flushed together; a flush is forced after this many. */
    private static final int MAXIMUM_CONSOLIDATED_FLUSHES = 256;

    private final LinkSettings settings;
    private final LinkListener listener;
    private final boolean isConnector;

    LinkChannelInitializer(LinkSettings settings, LinkListener listener, boolean isConnector) {
        this.settings = settings;
        this.listener = listener;
        this.isConnector = isConnector;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(settings.idleTimeoutMillis(), TimeUnit.MILLISECONDS))
                .addLast(new FlushConsolidationHandler(MAXIMUM_CONSOLIDATED_FLUSHES, true))
                .addLast(new LengthFieldBasedFrameDecoder(MessageCodec.MAXIMUM_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new FrameCodec())
                .addLast(new LinkHandler(settings, listener, isConnector));
    }

    /**
     * Encodes and decodes frames. Ignores unknown messages of newer versions, so that old and new processes can
     * communicate during a rolling upgrade.
     */
    private static final class FrameCodec extends MessageToMessageCodec<ByteBuf, Message> {
        @Override
        protected void encode(ChannelHandlerContext context, Message message, List<Object> out) {
            byte[] bytes = MessageCodec.encode(message);
            PeerLink.reportSentBytes(context.channel(), LENGTH_BYTES + bytes.length);
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
