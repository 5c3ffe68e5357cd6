package org.quetzalshunt.server.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalshunt.core.memory.MemoryBudget;
import org.quetzalshunt.core.memory.MemoryUse;

/** Callers that do not read, or that send large bodies, beside normal callers on one event loop. */
final class SlowCallersTest {
    private static final int SLOW_CALLERS = 1_000;
    private static final int LARGE_BYTES = 1_000_000;
    private static final int NORMAL_REQUESTS = 400;
    private static final long WAIT_MILLIS = 8_000;

    /** Allowance for pauses of the machine, which are longer than a whole request on the loopback interface. */
    private static final double MACHINE_MILLIS = 5;

    private static final HttpLimits LIMITS = new HttpLimits(8_192, 2_000_000, 15_000, 5_000);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicInteger largeRuns = new AtomicInteger();
    private final ConcurrentLinkedQueue<DisconnectCause> disconnected = new ConcurrentLinkedQueue<>();
    private final List<Socket> sockets = new ArrayList<>();
    private MemoryBudget budget;
    private HttpServer server;

    private void start(long budgetBytes) {
        start(budgetBytes, true);
    }

    private void start(long budgetBytes, boolean limited) {
        budget = MemoryBudget.of(budgetBytes);
        CallerMemory memory = CallerMemory.within(
                budget, group.next(), () -> limited, () -> true, (cause, heldBytes) -> disconnected.add(cause));
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = HttpServer.start(group, address, LIMITS, this::handle, memory);
    }

    @AfterEach
    void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void handle(HttpExchange exchange) {
        if (exchange.path().equals("/large")) {
            largeRuns.incrementAndGet();
            exchange.respond(200, Map.of(), new byte[LARGE_BYTES]);
        } else {
            exchange.respond(200, Map.of(), new byte[10]);
        }
    }

    private Socket connect(int receiveBytes) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(receiveBytes);
        socket.setSoTimeout((int) WAIT_MILLIS);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
        sockets.add(socket);
        return socket;
    }

    private static void send(Socket socket, String method, String path, String headers) throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nhost: a\r\n" + headers + "\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads a response with its headers, of which only the size of the body is used. */
    private static void readResponse(Socket socket, int bodyBytes) throws IOException {
        InputStream input = socket.getInputStream();
        int lineBreaks = 0;
        while (lineBreaks < 4) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("closed");
            }
            lineBreaks = next == '\r' || next == '\n' ? lineBreaks + 1 : 0;
        }
        if (input.readNBytes(bodyBytes).length < bodyBytes) {
            throw new IOException("cut");
        }
    }

    private <T> T onLoop(Callable<T> query) {
        return group.next().submit(query).syncUninterruptibly().getNow();
    }

    private void await(Callable<Boolean> condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
        while (!onLoop(condition)) {
            assertThat(System.nanoTime()).isLessThan(deadline);
            Thread.sleep(20);
        }
    }

    /** Returns the 99th percentile of the times of requests of a normal caller, in milliseconds. */
    private double normalMillis() throws IOException {
        Socket socket = connect(65_536);
        double[] millis = new double[NORMAL_REQUESTS];
        for (int request = 0; request < NORMAL_REQUESTS; request++) {
            long start = System.nanoTime();
            send(socket, "GET", "/small", "");
            readResponse(socket, 10);
            millis[request] = (System.nanoTime() - start) / 1e6;
        }
        Arrays.sort(millis);
        return millis[NORMAL_REQUESTS * 99 / 100];
    }

    private void assertNotDelayed(double aloneMillis) throws IOException {
        double besideMillis = normalMillis();
        System.out.println(
                "p99 of normal callers, in ms: " + aloneMillis + " alone, " + besideMillis + " beside others");
        assertThat(besideMillis).isAtMost(1.5 * aloneMillis + MACHINE_MILLIS);
    }

    /** Guards against slow callers that fill the memory, keep their connections, or delay other callers. */
    @Test
    void thousandCallersThatReadAByteASecondAreDisconnectedAndDelayNobody() throws Exception {
        start(2_000_000_000L);
        normalMillis();
        double alone = normalMillis();
        for (int caller = 0; caller < SLOW_CALLERS; caller++) {
            send(connect(4_096), "GET", "/large", "");
        }
        List<Socket> slow = List.copyOf(sockets).subList(2, 2 + SLOW_CALLERS);
        await(() -> largeRuns.get() == SLOW_CALLERS);
        for (Socket socket : slow) {
            socket.getInputStream().read();
        }

        assertNotDelayed(alone);

        await(() -> disconnected.size() == SLOW_CALLERS);
        assertThat(disconnected).doesNotContain(DisconnectCause.MEMORY);
        long held = onLoop(budget::held);
        assertThat(held).isEqualTo(0);
    }

    /** Guards against callers that are cut off although they read, and against those that stop halfway and are not. */
    @Test
    void callerThatStopsHalfwayIsDisconnectedAndOneThatReadsOnIsServed() throws Exception {
        start(100_000_000);
        normalMillis();
        double alone = normalMillis();
        Socket stopped = connect(4_096);
        Socket steady = connect(4_096);
        send(stopped, "GET", "/large", "");
        send(steady, "GET", "/large", "");
        readResponse(stopped, LARGE_BYTES / 2);
        readResponse(steady, LARGE_BYTES / 5);
        assertNotDelayed(alone);
        for (int part = 1; part < 5; part++) {
            Thread.sleep(700);
            assertThat(steady.getInputStream().readNBytes(LARGE_BYTES / 5)).hasLength(LARGE_BYTES / 5);
        }
        await(() -> disconnected.size() == 1);
        assertThat(disconnected).containsExactly(DisconnectCause.SLOW);
    }

    /** Guards against limits that take effect although they are not enabled. */
    @Test
    void withoutLimitsNobodyIsDisconnectedOrHeldBack() throws Exception {
        start(1_000, false);
        Socket socket = connect(4_096);
        for (int request = 0; request < 3; request++) {
            send(socket, "GET", "/large", "");
        }
        await(() -> largeRuns.get() == 3);
        Thread.sleep(2_300);
        for (int request = 0; request < 3; request++) {
            readResponse(socket, LARGE_BYTES);
        }
        assertThat(disconnected).isEmpty();
    }

    /** Guards against pipelined requests that all run at once for a caller that reads none of the responses. */
    @Test
    void pipelinedRequestWaitsUntilThePreviousResponseIsRead() throws Exception {
        start(100_000_000);
        Socket socket = connect(4_096);
        for (int request = 0; request < 3; request++) {
            send(socket, "GET", "/large", "");
        }
        await(() -> budget.held(MemoryUse.RESPONSES) > 0);
        Thread.sleep(100);
        assertThat(largeRuns.get()).isEqualTo(1);

        for (int request = 0; request < 3; request++) {
            readResponse(socket, LARGE_BYTES);
        }
        assertThat(largeRuns.get()).isEqualTo(3);
        await(() -> budget.held() == 0);
    }

    /** Guards against bodies that together exceed the memory although each is allowed. */
    @Test
    void largeBodiesAtOnceStayWithinTheBudget() throws Exception {
        start(4_000_000);
        normalMillis();
        double alone = normalMillis();
        byte[] part = new byte[900_000];
        for (int caller = 0; caller < 8; caller++) {
            Socket socket = connect(65_536);
            send(socket, "POST", "/small", "content-length: 1000000\r\n");
            socket.getOutputStream().write(part);
        }
        await(() -> disconnected.size() >= 4);
        assertThat(disconnected).doesNotContain(DisconnectCause.SLOW);
        long held = onLoop(budget::held);
        long peak = onLoop(budget::peak);
        assertThat(held).isAtMost(3_800_000);
        assertThat(peak).isAtMost(4_000_000);
        assertNotDelayed(alone);
    }
}
