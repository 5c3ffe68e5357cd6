package org.quetzalshunt.server.log;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.log.LogFold;
import org.quetzalshunt.core.log.StreamSession;
import org.quetzalshunt.core.log.StreamSettings;
import org.quetzalshunt.core.log.Submission;
import org.quetzalshunt.server.http.HttpClient;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.server.http.HttpLimits;
import org.quetzalshunt.server.http.HttpServer;
import org.quetzalshunt.server.http.RepeatingHttpServer;
import org.quetzalshunt.server.http.RepeatingHttpServer.Copy;

final class LogClientTest {
    /** Longer than the time after which a server repeats a response. */
    private static final long PAUSE_MILLIS = 60;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<byte[]> records = new ArrayList<>();
    private final BlockingQueue<String> folded = new LinkedBlockingQueue<>();
    private final BlockingQueue<Submission> submissions = new LinkedBlockingQueue<>();
    private final HttpServer server = HttpServer.start(
            group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), HttpLimits.defaults(), this::serve);
    private volatile String nextFault = "";
    private final AtomicLong virtualMillis = new AtomicLong(1);
    private volatile boolean outage;

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void serve(HttpExchange exchange) {
        if (outage) {
            exchange.respondText(503, "outage");
            return;
        }
        if (exchange.method().equals("GET")) {
            long from = Long.parseLong(exchange.query("from").orElseThrow());
            StringBuilder body = new StringBuilder("{\"first\":0,\"next\":" + records.size() + ",\"records\":[");
            for (int offset = (int) from; offset < records.size(); offset++) {
                String data = Base64.getEncoder().encodeToString(records.get(offset));
                body.append(offset == from ? "" : ",").append("{\"offset\":").append(offset);
                body.append(",\"data\":\"").append(data).append("\"}");
            }
            exchange.respondJson(200, body.append("]}").toString());
            return;
        }
        String fault = nextFault;
        nextFault = "";
        switch (fault) {
            case "lostAnswer" -> {
                records.add(exchange.body());
                exchange.abort();
            }
            case "cut" -> exchange.abort();
            case "429", "503" -> exchange.respondText(Integer.parseInt(fault), "no");
            case "nonsense" -> {
                records.add(exchange.body());
                exchange.respondJson(200, "{\"offset\":\"x\"}");
            }
            default -> {
                records.add(exchange.body());
                exchange.respondJson(200, "{\"offset\":" + (records.size() - 1) + "}");
            }
        }
    }

    private StreamSession start(List<InetSocketAddress> addresses) {
        LogClient client = LogClient.create(HttpClient.create(group), addresses, System::currentTimeMillis);
        LogFold fold = new LogFold() {
            @Override
            public void apply(long offset, byte[] record, int indexInBatch) {
                folded.add(new String(record, StandardCharsets.UTF_8));
            }

            @Override
            public void onGap(long firstKept) {
                folded.add("gap");
            }
        };
        StreamSession session =
                StreamSession.create("configuration", StreamSettings.onDemand(1, 5), "vm#1", client, fold);
        client.attach(session);
        group.scheduleAtFixedRate(() -> session.tick(System.currentTimeMillis()), 0, 5, TimeUnit.MILLISECONDS);
        return session;
    }

    private InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
    }

    private Submission submit(StreamSession session, String record) throws InterruptedException {
        group.execute(() ->
                session.submit(System.currentTimeMillis(), record.getBytes(StandardCharsets.UTF_8), submissions::add));
        return submissions.poll(10, TimeUnit.SECONDS);
    }

    /**
     * The response to the append of an operator's change is lost, cut, refused or malformed. In each case the log must
     * contain the change once, and its author must get the offset of it.
     */
    @ParameterizedTest
    @ValueSource(strings = {"none", "lostAnswer", "cut", "429", "503", "nonsense"})
    void recordIsAppliedOnceWhenItsAppendFails(String fault) throws InterruptedException {
        StreamSession session = start(List.of(address()));
        assertThat(submit(session, "first")).isEqualTo(Submission.folded(0));
        nextFault = fault;
        assertThat(submit(session, "second")).isEqualTo(Submission.folded(1));
        assertThat(submit(session, "third")).isEqualTo(Submission.folded(2));
        assertThat(folded).containsExactly("first", "second", "third").inOrder();
    }

    /**
     * Guards against work of a program that waits for seconds after an outage, because the stream of its shard is in its
     * own back-off although another stream of the process was answered.
     */
    @Test
    void endOfAnOutageIsNoticedByAllStreams() throws InterruptedException, ExecutionException {
        LogClient client = LogClient.create(HttpClient.create(group), List.of(address()), virtualMillis::get);
        StreamSession backedOff = attach(client, "shard-0");
        StreamSession other = attach(client, "shard-1");
        outage = true;
        for (int failure = 0; failure < 10; failure++) {
            long expectedFailures = failure + 1L;
            virtualMillis.addAndGet(2_000);
            group.execute(() -> backedOff.requestReadToEnd(virtualMillis.get()));
            awaitTrue(() -> client.failures() == expectedFailures);
        }
        outage = false;
        assertThat(backedOff.isCaughtUp()).isFalse();
        group.execute(() -> other.requestReadToEnd(virtualMillis.get()));
        awaitTrue(other::isCaughtUp);
        virtualMillis.addAndGet(100);
        group.execute(() -> backedOff.tick(virtualMillis.get()));
        awaitTrue(backedOff::isCaughtUp);
    }

    private StreamSession attach(LogClient client, String stream) {
        StreamSession session =
                StreamSession.create(stream, StreamSettings.onDemand(1, 5), "vm#1", client, new LogFold() {
                    @Override
                    public void apply(long offset, byte[] record, int indexInBatch) {}

                    @Override
                    public void onGap(long firstKept) {}
                });
        client.attach(session);
        return session;
    }

    /** Checks the condition on the event loop, to which the sessions belong. */
    private void awaitTrue(Callable<Boolean> condition) throws InterruptedException, ExecutionException {
        for (int check = 0; check < 1_000; check++) {
            if (group.submit(condition).get()) {
                return;
            }
            Thread.sleep(5);
        }
        throw new AssertionError("the condition was not met within 5 s");
    }

    /**
     * Guards against a copy of the response to one append that is taken for the response to the next one, of the same
     * stream or of another one: a record that the log refused would count as stored, or its outcome as unknown.
     */
    @ParameterizedTest
    @CsvSource({
        "SAME_SEGMENT, shard-0",
        "SAME_SEGMENT, shard-1",
        "SHORTLY_AFTER, shard-0",
        "SHORTLY_AFTER, shard-1",
        "BEFORE_THE_NEXT_RESPONSE, shard-0",
        "BEFORE_THE_NEXT_RESPONSE, shard-1"
    })
    void copyOfAnAppendsResponseIsNotTheResponseToTheNextAppend(Copy copy, String refusedStream) throws Exception {
        AtomicInteger stored = new AtomicInteger();
        try (RepeatingHttpServer log = RepeatingHttpServer.start(copy, request -> {
            if (request.startsWith("GET")) {
                int next = request.contains("shard-0") ? stored.get() : 0;
                return "200 {\"first\":0,\"next\":" + next + ",\"records\":[]}";
            }
            return stored.compareAndSet(0, 1) ? "200 {\"offset\":0}" : "429 {}";
        })) {
            LogClient client =
                    LogClient.create(HttpClient.create(group), List.of(log.address()), System::currentTimeMillis);
            Map<String, StreamSession> sessions =
                    Map.of("shard-0", attach(client, "shard-0"), "shard-1", attach(client, "shard-1"));
            for (StreamSession session : sessions.values()) {
                group.execute(() -> session.requestReadToEnd(System.currentTimeMillis()));
                awaitTrue(session::isCaughtUp);
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
            assertThat(submit(sessions.get("shard-0"), "stored")).isEqualTo(Submission.folded(0));
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);

            byte[] record = "refused".getBytes(StandardCharsets.UTF_8);
            group.execute(
                    () -> sessions.get(refusedStream).submit(System.currentTimeMillis(), record, submissions::add));

            assertThat(submissions.poll(500, TimeUnit.MILLISECONDS)).isNull();
        }
    }

    @Test
    void nextAddressIsUsedAfterAFailure() throws InterruptedException {
        InetSocketAddress unreachable = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        StreamSession session = start(List.of(unreachable, address()));
        assertThat(submit(session, "record")).isEqualTo(Submission.folded(0));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{\"first\":0}",
                "{\"first\":0,\"next\":1,\"records\":[{\"offset\":0}]}",
                "{\"first\":0,\"next\":1,\"records\":[{\"offset\":0,\"data\":\"=%\"}]}",
            })
    void malformedReadResponseIsRejected(String body) {
        assertThat(LogResponseParser.parseRead(body.getBytes(StandardCharsets.UTF_8)))
                .isEmpty();
    }
}
