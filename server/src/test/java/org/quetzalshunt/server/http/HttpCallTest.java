package org.quetzalshunt.server.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class HttpCallTest {
    /** Fails every write at once, as a connection does that was reset while it was idle. */
    private static final class FailingWrites extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
            promise.setFailure(new IOException("connection reset"));
        }
    }

    private static final class Failures implements HttpResponseListener {
        final List<String> reasons = new ArrayList<>();

        @Override
        public void onHead(int status, HttpHeaders headers) {}

        @Override
        public void onChunk(byte[] data) {}

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(String reason, boolean requestMayHaveArrived) {
            reasons.add(reason);
        }
    }

    /**
     * Guards against a retry that starts inside the send of the attempt before it: the sender would then keep the ended
     * call in place of the running one, and could no longer cancel it.
     */
    @Test
    void writeThatFailsAtOnceIsReportedAfterTheSend() {
        Failures failures = new Failures();
        HttpCall call = HttpCall.create(
                failures, Optional.of("a"), ResponseMatcher.ANY, (channel, keepAliveMillis) -> channel.close());
        EmbeddedChannel channel = new EmbeddedChannel(
                new FailingWrites(),
                new HttpCallHandler(
                        InetSocketAddress.createUnresolved("server", 80),
                        new UnmatchedResponses(),
                        new ProgressLimit()));

        call.start(channel, new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), 1_000);

        assertThat(failures.reasons).isEmpty();
        channel.runPendingTasks();
        assertThat(failures.reasons).containsExactly("cannot send request: connection reset");
    }
}
