package org.quetzalshunt.server.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Faulty server that sends each of its responses twice on a connection, and echoes no id. */
public final class RepeatingHttpServer implements AutoCloseable {
    /** When the second copy of a response is sent. */
    public enum Copy {
        SAME_SEGMENT,
        SHORTLY_AFTER,
        BEFORE_THE_NEXT_RESPONSE
    }

    /** Chooses the response to a request. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Called for each request.
         *
         * @param request method and path with query, such as {@code GET /status?a=1}
         * @return status and body, such as <code>200 {}</code>
         */
        String respond(String request);
    }

    private static final long SHORT_DELAY_MILLIS = 20;

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final AtomicInteger connections = new AtomicInteger();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final Copy copy;
    private final Handler handler;

    private RepeatingHttpServer(Copy copy, Handler handler) throws IOException {
        this.copy = copy;
        this.handler = handler;
    }

    /** Starts a server on a free port of the loopback address. */
    public static RepeatingHttpServer start(Copy copy, Handler handler) throws IOException {
        RepeatingHttpServer server = new RepeatingHttpServer(copy, handler);
        startDaemon(server::accept);
        return server;
    }

    /** Address at which the server listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Number of connections accepted. */
    public int connections() {
        return connections.get();
    }

    /** Requests received, with method and path. */
    public List<String> requests() {
        return requests;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private static void startDaemon(Runnable work) {
        Thread thread = new Thread(work, "repeating-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.incrementAndGet();
                startDaemon(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            byte[] last = {};
            for (String request = read(socket); !request.isEmpty(); request = read(socket)) {
                requests.add(request);
                byte[] response = encode(handler.respond(request));
                send(socket.getOutputStream(), last, response);
                last = response;
            }
        } catch (IOException closed) {
            // The client closed the connection.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(OutputStream out, byte[] last, byte[] response) throws IOException, InterruptedException {
        switch (copy) {
            case SAME_SEGMENT -> {
                ByteArrayOutputStream twice = new ByteArrayOutputStream();
                twice.writeBytes(response);
                twice.writeBytes(response);
                out.write(twice.toByteArray());
            }
            case SHORTLY_AFTER -> {
                out.write(response);
                TimeUnit.MILLISECONDS.sleep(SHORT_DELAY_MILLIS);
                out.write(response);
            }
            case BEFORE_THE_NEXT_RESPONSE -> {
                out.write(last);
                out.write(response);
            }
        }
    }

    /** Reads a request and its body; empty at the end of the connection. */
    private static String read(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        String text = head.toString().toLowerCase(Locale.ROOT);
        int length = text.indexOf("content-length: ");
        if (length >= 0) {
            int start = length + "content-length: ".length();
            in.readNBytes(Integer.parseInt(text.substring(start, text.indexOf("\r\n", start))));
        }
        return head.substring(0, head.indexOf(" HTTP/1.1"));
    }

    private static byte[] encode(String response) {
        int status = Integer.parseInt(response.substring(0, 3));
        String body = response.substring(3).trim();
        return ("HTTP/1.1 " + status + " Status\r\ncontent-length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }
}
