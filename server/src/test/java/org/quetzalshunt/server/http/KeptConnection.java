package org.quetzalshunt.server.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller's connection, on which a test sends and receives bytes. */
final class KeptConnection implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 5_000;
    private final Socket socket = new Socket();

    private KeptConnection() {}

    static KeptConnection open(int port, int receiveBufferBytes) throws IOException {
        KeptConnection connection = new KeptConnection();
        connection.socket.setReceiveBufferSize(receiveBufferBytes);
        connection.socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        connection.socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return connection;
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads until the received text ends with {@code end}. */
    String readUntil(String end) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (text.indexOf(end) < 0) {
            int read = in.read();
            if (read < 0) {
                throw new IOException("the connection ended after: " + text);
            }
            text.append((char) read);
        }
        return text.toString();
    }

    /** Reads until the server has closed the connection; fails if it was reset. */
    String readAll() throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        socket.getInputStream().transferTo(all);
        return all.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
