package org.quetzalshunt.server.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Server whose script writes arbitrary bytes in response to each request. Requests have no body. */
final class ScriptedServer implements AutoCloseable {
    /** Writes the bytes that follow a request. */
    interface Script {
        /**
         * Called for each request.
         *
         * @param connection number of the connection, from 0
         * @param request number of the request on it, from 0
         */
        void respond(int connection, int request, OutputStream out) throws IOException;
    }

    private final ServerSocket listener;
    private final AtomicInteger connections = new AtomicInteger();
    private final Script script;

    ScriptedServer(Script script) throws IOException {
        this.script = script;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemon(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    int connections() {
        return connections.get();
    }

    private static void startDaemon(Runnable work) {
        Thread thread = new Thread(work, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                int number = connections.getAndIncrement();
                startDaemon(() -> serve(socket, number));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private void serve(Socket socket, int connection) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            int request = 0;
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.isEmpty()) {
                    script.respond(connection, request++, socket.getOutputStream());
                }
            }
        } catch (IOException closed) {
            // The client closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
