package org.quetzalshunt.server.sidecar;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Closes each connection after the first bytes of a response. */
final class CutService implements AutoCloseable {
    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: (\\d+)");

    private final ServerSocket server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    private final byte[] response;
    private volatile int cutAt;

    private CutService(byte[] response) throws IOException {
        this.response = response;
        Thread thread = new Thread(this::accept, "cut-service");
        thread.setDaemon(true);
        thread.start();
    }

    static CutService start(byte[] response) throws IOException {
        return new CutService(response);
    }

    /** Sets the number of bytes that later responses are cut after. */
    void setCutAt(int bytes) {
        cutAt = bytes;
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
                try (Socket connection = server.accept()) {
                    readRequest(connection.getInputStream());
                    connection.getOutputStream().write(Arrays.copyOf(response, cutAt));
                }
            }
        } catch (IOException closed) {
            // The test has closed the service.
        }
    }

    static void readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return;
            }
            head.append((char) next);
        }
        Matcher length = CONTENT_LENGTH.matcher(head);
        in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
    }
}
