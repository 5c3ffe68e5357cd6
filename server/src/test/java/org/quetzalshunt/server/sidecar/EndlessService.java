package org.quetzalshunt.server.sidecar;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Writes a head and then the same bytes again and again, until the connection is closed. */
final class EndlessService implements AutoCloseable {
    /** Bounds the memory of a test that fails; nothing more is sent then, and the response has no end. */
    private static final int MAXIMUM_BYTES = 64 << 20;

    private final ServerSocket server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    private final byte[] head;
    private final byte[] repeated;

    private EndlessService(String head) throws IOException {
        this.head = head.getBytes(StandardCharsets.US_ASCII);
        this.repeated = "x".repeat(64 * 1024).getBytes(StandardCharsets.US_ASCII);
        startDaemon(this::accept);
    }

    static EndlessService start(String head) throws IOException {
        return new EndlessService(head);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private static void startDaemon(Runnable work) {
        Thread thread = new Thread(work, "endless-service");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = server.accept();
                startDaemon(() -> serve(connection));
            }
        } catch (IOException closed) {
            // The test has closed the service.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            CutService.readRequest(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            out.write(head);
            for (int sent = 0; sent < MAXIMUM_BYTES; sent += repeated.length) {
                out.write(repeated);
            }
            connection.getInputStream().read();
        } catch (IOException closed) {
            // The client has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
