package org.quetzalshunt.server.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ObjLongConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.memory.ResponseBudget;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.AttemptChunk;
import org.quetzalshunt.wire.generated.AttemptEnd;
import org.quetzalshunt.wire.generated.AttemptHead;
import org.quetzalshunt.wire.generated.AttemptStart;
import org.quetzalshunt.wire.generated.Message;

/** Frames of a sidecar that are received over a real link. */
final class AttemptTrackerTest {
    private static final String ENDPOINT = "sidecar-1";
    private static final long WAIT_SECONDS = 8;
    private static final int CHUNK_BYTES = 64 * 1024;
    private static final int MAXIMUM_CHUNKS = 1_024;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AttemptTracker tracker =
            new AttemptTracker(new EntryClock(), ResponseBudget.ofHeap(Long.MAX_VALUE), 1);
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final AtomicLong collectedBytes = new AtomicLong();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Guards against a status that is none, of a sidecar with another version, that reaches a caller. */
    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 99, 100, 600})
    void statusThatIsNoneLeavesTheOutcomeUnknown(int status) throws Exception {
        runWithHead(status);

        assertThat(nextEvent()).isEqualTo(ResultCode.OUTCOME_UNKNOWN + " " + Execution.UNKNOWN);
    }

    /** Guards against a response of a service that is refused because it reports a failure. */
    @ParameterizedTest
    @ValueSource(ints = {200, 404, 599})
    void responseIsPassedOn(int status) throws Exception {
        runWithHead(status);

        assertThat(nextEvent()).isEqualTo("head " + status);
        assertThat(nextEvent()).isEqualTo(ResultCode.OK + " " + Execution.RAN);
    }

    /** Guards against a response without end that an entry collects until its heap is full. */
    @Test
    void responseWithoutEndFailsTheAttempt() throws Exception {
        connect((link, attempt) -> {
            link.send(Message.attemptHead(new AttemptHead(attempt, 200, Map.of())));
            for (int chunk = 0; chunk < MAXIMUM_CHUNKS; chunk++) {
                link.send(Message.attemptChunk(new AttemptChunk(attempt, chunk, ByteBuffer.allocate(CHUNK_BYTES))));
            }
        });

        assertThat(nextEvent()).isEqualTo("head 200");
        assertThat(nextEvent()).isEqualTo(ResultCode.ENDPOINT_FAILED + " " + Execution.UNKNOWN);
        assertThat(collectedBytes.get()).isAtMost(ResponseBudget.MAXIMUM_RESPONSE_BYTES + CHUNK_BYTES);
    }

    private String nextEvent() throws InterruptedException {
        return events.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Starts an attempt, at which the sidecar sends a head and the end. */
    private void runWithHead(int status) {
        connect((link, attempt) -> {
            link.send(Message.attemptHead(new AttemptHead(attempt, status, Map.of())));
            link.send(Message.attemptEnd(new AttemptEnd(attempt, ResultCode.OK.number(), Execution.RAN.number(), 0)));
        });
    }

    /** Starts an attempt at a sidecar that sends the given frames. */
    private void connect(ObjLongConsumer<PeerLink> frames) {
        TestLinks.connect(group, "entry-1", this::onEntryEvent, ENDPOINT, VmRole.SIDECAR, event -> event.message()
                .filter(Message::isSetAttemptStart)
                .ifPresent(start ->
                        frames.accept(event.link(), start.getAttemptStart().getAttempt())));
    }

    private void onEntryEvent(LinkEventAdapter.Event event) {
        switch (event.kind()) {
            case OPENED -> {
                tracker.linkOpened(event.link());
                AttemptStart start = new AttemptStart();
                start.setRemainingMillis(TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
                tracker.start(ENDPOINT, start, new RecordingListener());
            }
            case CLOSED -> tracker.linkClosed(event.link());
            case MESSAGE -> event.message().ifPresent(this::onMessage);
        }
    }

    private void onMessage(Message message) {
        if (message.isSetAttemptHead()) {
            tracker.onHead(message.getAttemptHead());
        } else if (message.isSetAttemptChunk()) {
            tracker.onChunk(message.getAttemptChunk());
        } else if (message.isSetAttemptEnd()) {
            tracker.onEnd(message.getAttemptEnd());
        }
    }

    private final class RecordingListener implements AttemptListener {
        @Override
        public void onHead(int status, Map<String, String> headers) {
            events.add("head " + status);
        }

        @Override
        public void onChunk(byte[] data) {
            collectedBytes.addAndGet(data.length);
        }

        @Override
        public long heldBytes() {
            return collectedBytes.get();
        }

        @Override
        public void onOutcome(AttemptOutcome outcome) {
            events.add(outcome.code() + " " + outcome.execution());
        }
    }
}
