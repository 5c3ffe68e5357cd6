package org.quetzalshunt.server.sidecar;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Answers one request on each connection without announcing a close, and closes the connection when a second request
 * arrives.
 */
final class SingleResponseServer implements AutoCloseable {
    private static final byte[] ANSWER =
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".getBytes(StandardCharsets.UTF_8);

    private final ServerSocket server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());

    private SingleResponseServer() throws IOException {
        new Thread(this::accept).start();
    }

    static SingleResponseServer start() throws IOException {
        return new SingleResponseServer();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = server.accept();
                new Thread(() -> answer(connection)).start();
            }
        } catch (IOException closed) {
            // The test has closed the server.
        }
    }

    private static void answer(Socket connection) {
        try (connection) {
            for (int character = 0;
                    character != '}';
                    character = connection.getInputStream().read()) {}
            connection.getOutputStream().write(ANSWER);
            connection.getInputStream().read();
        } catch (IOException broken) {
            // The client closed first, which these tests do not examine.
        }
    }
}
