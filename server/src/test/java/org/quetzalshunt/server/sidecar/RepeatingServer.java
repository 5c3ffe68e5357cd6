package org.quetzalshunt.server.sidecar;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Answers each request with its path, and repeats the last response before the next one on the connection. */
final class RepeatingServer implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());

    private RepeatingServer() throws IOException {
        new Thread(this::accept).start();
    }

    static RepeatingServer start() throws IOException {
        return new RepeatingServer();
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
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8));
            byte[] last = {};
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (!line.contains(" HTTP/1.1")) {
                    continue;
                }
                String body = "response to " + line.split(" ")[1];
                connection.getOutputStream().write(last);
                last = ("HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.UTF_8);
                connection.getOutputStream().write(last);
            }
        } catch (IOException broken) {
            // The client closed first.
        }
    }
}
