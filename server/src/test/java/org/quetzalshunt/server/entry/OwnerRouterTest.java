package org.quetzalshunt.server.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.server.http.ResponseSink;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.ForwardChunk;
import org.quetzalshunt.wire.generated.ForwardEnd;
import org.quetzalshunt.wire.generated.ForwardHead;
import org.quetzalshunt.wire.generated.Message;

/** Responses of the owner of a shard to requests that were forwarded to it over a real link. */
final class OwnerRouterTest {
    private static final String SELF = "entry-1";
    private static final String OWNER = "entry-2";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<LinkEventAdapter.Event> received = new LinkedBlockingQueue<>();
    private final OwnerRouter router = new OwnerRouter(
            new EntryClock(), SELF, shard -> Optional.of(OWNER), (shard, request, sink) -> sink.abort());

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Guards against a late or repeated response that is taken for the response to a request that is sent later. */
    @Test
    void responseToAnEarlierExchangeIsNotTheResponseToALaterOne() throws Exception {
        connect();
        RecordingSink first = route("first");
        LinkEventAdapter.Event broken = nextRequest();
        broken.link().close();
        LinkEventAdapter.Event again = nextRequest();
        assertThat(requestId(again)).isEqualTo("first");

        respond(again.link(), exchange(broken), "late");
        respond(again.link(), exchange(again), "own");
        awaitResponse(first, "200", "own", "end");

        RecordingSink second = route("second");
        LinkEventAdapter.Event next = nextRequest();
        respond(next.link(), exchange(again), "repeated");
        respond(next.link(), exchange(next), "own");
        awaitResponse(second, "200", "own", "end");
        assertThat(first.parts).hasSize(3);
    }

    /** Guards against a status that is none, of an owner with another version, that reaches a caller. */
    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 99, 100, 600})
    void statusThatIsNoneLeavesTheOutcomeUnknown(int status) throws Exception {
        connect();
        RecordingSink sink = route("first");
        LinkEventAdapter.Event request = nextRequest();

        group.execute(() -> {
            request.link().send(Message.forwardHead(new ForwardHead(exchange(request), status, Map.of())));
            request.link().send(Message.forwardEnd(new ForwardEnd(exchange(request), 0, true)));
        });

        awaitFinished(sink);
        assertThat(sink.parts.get(0)).isEqualTo(Integer.toString(ResultCode.OUTCOME_UNKNOWN.status()));
        assertThat(sink.parts).hasSize(3);
    }

    private void connect() {
        TestLinks.connect(group, SELF, this::onEvent, OWNER, VmRole.ENTRY, received::add);
    }

    private void onEvent(LinkEventAdapter.Event event) {
        switch (event.kind()) {
            case OPENED -> router.linkOpened(event.link());
            case CLOSED -> router.linkClosed(event.link());
            case MESSAGE -> event.message().ifPresent(this::onMessage);
        }
    }

    private void onMessage(Message message) {
        switch (message.getSetField()) {
            case FORWARD_HEAD -> router.onHead(message.getForwardHead());
            case FORWARD_CHUNK -> router.onChunk(message.getForwardChunk());
            case FORWARD_END -> router.onEnd(message.getForwardEnd());
            default -> throw new IllegalStateException("unexpected message " + message.getSetField());
        }
    }

    private RecordingSink route(String requestId) {
        OwnerRequest request = new OwnerRequest(
                requestId, "account", "GET", "/", Map.of(), new byte[0], System.currentTimeMillis() + 60_000, 0);
        RecordingSink sink = new RecordingSink();
        group.execute(() -> router.route(0, request, sink));
        return sink;
    }

    private LinkEventAdapter.Event nextRequest() throws InterruptedException {
        while (true) {
            LinkEventAdapter.Event event = received.poll(8, TimeUnit.SECONDS);
            if (event.message().filter(Message::isSetForwardRequest).isPresent()) {
                return event;
            }
        }
    }

    private static long exchange(LinkEventAdapter.Event request) {
        return request.message().orElseThrow().getForwardRequest().getExchange();
    }

    private static String requestId(LinkEventAdapter.Event request) {
        return request.message().orElseThrow().getForwardRequest().getRequestId();
    }

    private void respond(PeerLink link, long exchange, String body) {
        group.execute(() -> {
            link.send(Message.forwardHead(new ForwardHead(exchange, 200, Map.of())));
            link.send(Message.forwardChunk(
                    new ForwardChunk(exchange, 0, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)))));
            link.send(Message.forwardEnd(new ForwardEnd(exchange, 1, true)));
        });
    }

    private void awaitResponse(RecordingSink sink, String... parts) throws Exception {
        awaitFinished(sink);
        assertThat(sink.parts).containsExactlyElementsIn(parts).inOrder();
    }

    private void awaitFinished(RecordingSink sink) throws Exception {
        for (int check = 0; check < 1_000 && !group.submit(sink::finished).get(); check++) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** Records the parts of a response. */
    private static final class RecordingSink implements ResponseSink {
        private final List<String> parts = new ArrayList<>();
        private boolean finished;

        @Override
        public void respond(int status, Map<String, String> headers, byte[] body) {
            begin(status, headers);
            write(body);
            end();
        }

        @Override
        public void begin(int status, Map<String, String> headers) {
            parts.add(Integer.toString(status));
        }

        @Override
        public void write(byte[] data) {
            parts.add(new String(data, StandardCharsets.UTF_8));
        }

        @Override
        public void end() {
            parts.add("end");
            finished = true;
        }

        @Override
        public void abort() {
            parts.add("abort");
            finished = true;
        }

        @Override
        public void onClose(Runnable action) {}

        @Override
        public boolean started() {
            return !parts.isEmpty();
        }

        @Override
        public boolean finished() {
            return finished;
        }
    }
}
