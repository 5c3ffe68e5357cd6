package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server of a service: runs the requests that are addressed to it, as many at once as it has slots, and rejects
 * others as not executed. A request with a token usage is answered by a stream of events, any other by a body.
 */
final class Server implements AutoCloseable {
    /** A request that the server began to work on. */
    record Run(String id, long startedMillis, String path) {}

    /** How the server works. */
    interface Work {
        /** Time to work on a request. */
        long millis(Http.Message request);

        /** Size of the body of the answer to a request without a token usage. */
        int answerBytes(Http.Message request);
    }

    static final int EVENTS = 3;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final String id;
    private static final AtomicInteger TAKEN = new AtomicInteger();
    private static final AtomicInteger MOST_TAKEN = new AtomicInteger();
    private final int slots;
    private final Semaphore free;
    private final Work work;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Map<String, String> running = new ConcurrentHashMap<>();
    private final int port;
    private volatile ServerSocket listener;

    Server(String id, int slots, Work work) throws IOException {
        this.id = id;
        this.slots = slots;
        this.free = new Semaphore(slots);
        this.work = work;
        this.port = listen(0);
    }

    private int listen(int requestedPort) throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), requestedPort), 512);
        listener = opened;
        Thread accepting = new Thread(() -> accept(opened), id);
        accepting.setDaemon(true);
        accepting.start();
        return opened.getLocalPort();
    }

    /** Starts to count the most places taken at once, over all servers. */
    static void resetMostTaken() {
        MOST_TAKEN.set(TAKEN.get());
    }

    static int mostTaken() {
        return MOST_TAKEN.get();
    }

    /** Bodies of the requests that are being worked on, by request id. */
    Map<String, String> running() {
        return running;
    }

    /** Ends as a crash does: all connections are reset, and new ones are refused. */
    void crash() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
    }

    /** Starts again at the same address and under the same id. */
    void restart() throws IOException {
        listen(port);
    }

    /** The server's entry in the store. */
    String entry(String service) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"tt-south-a\",\"version\":\"v1\",\"slots\":" + slots
                + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":" + System.currentTimeMillis()
                + "}";
    }

    private void accept(ServerSocket from) {
        while (true) {
            try {
                Socket socket = from.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                Thread serving = new Thread(() -> serve(socket), id + "-connection");
                serving.setDaemon(true);
                serving.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
                answer(request, out);
            }
        } catch (IOException | InterruptedException ended) {
            // The gateway closed the connection, or this server crashed.
        } finally {
            connections.remove(socket);
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException, InterruptedException {
        String requestId = request.header("x-request-id");
        String echo = "x-request-id: " + requestId + "\r\nx-instance-id: " + id + "\r\n";
        if (!request.header("x-expect-instance").equals(id)) {
            Http.respond(out, 421, echo, new byte[0]);
            return;
        }
        if (!free.tryAcquire()) {
            Http.respond(out, 503, echo + "x-not-executed: 1\r\n", new byte[0]);
            return;
        }
        try {
            MOST_TAKEN.accumulateAndGet(TAKEN.incrementAndGet(), Math::max);
            runs.add(new Run(requestId, System.currentTimeMillis(), request.startLine()));
            running.put(requestId, new String(request.body(), StandardCharsets.ISO_8859_1));
            Thread.sleep(work.millis(request));
            String head = echo + "x-response-stamp: stamp-" + requestId + "\r\n";
            if (request.header("x-token-usage").isEmpty()) {
                Http.respond(out, 200, head, body(work.answerBytes(request)));
            } else {
                respondEvents(out, head, request.header("x-token-usage").endsWith(",0") ? 0 : EVENTS);
            }
        } finally {
            running.remove(requestId);
            TAKEN.decrementAndGet();
            free.release();
        }
    }

    static byte[] body(int bytes) {
        byte[] body = new byte[bytes];
        for (int index = 0; index < bytes; index++) {
            body[index] = (byte) ('a' + index % 23);
        }
        return body;
    }

    private static void respondEvents(OutputStream out, String head, int events) throws IOException {
        String start = "HTTP/1.1 200 OK\r\n" + head
                + "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        out.write(start.getBytes(StandardCharsets.ISO_8859_1));
        for (int event = 0; event < events; event++) {
            String text = "id: " + event + "\ndata: piece " + event + "\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
