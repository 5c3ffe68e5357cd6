package org.quetzalshunt.server.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.function.Consumer;
import org.quetzalshunt.core.memory.MemoryHolder;
import org.quetzalshunt.core.memory.MemoryUse;
import org.quetzalshunt.core.memory.ReadProgress;

/** Memory held for one connection of a caller, and the caller's progress in reading its responses. */
final class ConnectionMemory {
    /** Memory of the buffers and promises of one write that is not accepted yet, beside its data. */
    private static final long WRITE_OVERHEAD_BYTES = 512;

    private final CallerMemory memory;
    private final ReadProgress progress = new ReadProgress();
    private Channel channel;
    private Consumer<DisconnectCause> disconnected = cause -> {};
    private MemoryHolder holder;
    private int unreadWrites;

    ConnectionMemory(CallerMemory memory) {
        this.memory = memory;
    }

    /**
     * Starts to account for a connection.
     *
     * @param disconnectedAction runs before the caller is disconnected for its use of memory
     */
    void open(Channel opened, Consumer<DisconnectCause> disconnectedAction) {
        channel = opened;
        disconnected = disconnectedAction;
        holder = memory.open(() -> disconnect(DisconnectCause.MEMORY));
    }

    /** Releases everything; the connection is closed. */
    void close() {
        memory.unwatch(this);
        holder.close();
    }

    MemoryHolder holder() {
        return holder;
    }

    boolean isLimited() {
        return memory.isEnabled();
    }

    boolean admitsConnection() {
        return memory.admitsConnection();
    }

    /** Whether data must be held back until the caller has read more. */
    boolean isBlocked() {
        return !channel.isWritable() && memory.isEnabled();
    }

    /**
     * Writes a part of a response. It is accounted only if the operating system does not accept it at once, so that
     * responses of callers that read cost nothing.
     */
    ChannelFuture write(ChannelHandlerContext context, Object message, long bytes) {
        ChannelFuture written = context.writeAndFlush(message);
        if (!written.isDone()) {
            holdUntilWritten(written, bytes);
        }
        return written;
    }

    private void holdUntilWritten(ChannelFuture written, long bytes) {
        long held = bytes + WRITE_OVERHEAD_BYTES;
        holder.hold(MemoryUse.RESPONSES, held);
        if (unreadWrites == 0) {
            progress.start(CallerMemory.nowMillis());
            memory.watch(this, channel.eventLoop());
        }
        unreadWrites++;
        written.addListener(done -> {
            holder.release(MemoryUse.RESPONSES, held);
            unreadWrites--;
            if (unreadWrites == 0) {
                memory.unwatch(this);
            }
        });
    }

    /** Counts a received part of a body; disconnects callers if the memory is exhausted by it. */
    void receive(long bytes) {
        holder.hold(MemoryUse.BODIES, bytes);
        memory.relieve();
    }

    /** Excludes a pause of this process from the time without progress. */
    void skip(long millis) {
        progress.skip(millis);
    }

    void checkProgress(long nowMillis, boolean limited) {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        if (pending == null) {
            memory.unwatch(this);
            return;
        }
        progress.update(nowMillis, pending.current(), pending.currentProgress());
        if (limited && progress.isTooSlow(nowMillis)) {
            disconnect(DisconnectCause.SLOW);
        }
    }

    /** Resets the connection, since a regular close would leave the unread data in the buffers of the system. */
    private void disconnect(DisconnectCause cause) {
        memory.onDisconnected(cause, holder.held());
        memory.unwatch(this);
        disconnected.accept(cause);
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }
}
