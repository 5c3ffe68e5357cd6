package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client: sends one request on a connection of its own and reads the whole answer. */
final class Caller {
    static final String HOST = "ficu95.example";
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private Caller() {}

    /**
     * The answer to a request.
     *
     * @param status 0 if there is no complete answer
     */
    record Answer(int status, Map<String, String> headers, String body, String problem) {
        boolean isWholeSuccess() {
            return status == 200 && headers.containsKey("x-response-stamp");
        }

        @Override
        public String toString() {
            return status == 0 ? "no complete answer (" + problem + ")" : Integer.toString(status);
        }
    }

    static Answer send(int port, String method, String path, Map<String, String> headers, String body, int waitMillis) {
        StringBuilder request = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\n");
        headers.forEach((name, value) -> request.append(name).append(": ").append(value).append("\r\n"));
        byte[] octets = body.getBytes(StandardCharsets.UTF_8);
        request.append("Content-Length: ").append(octets.length).append("\r\n\r\n");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(waitMillis);
            socket.getOutputStream().write((request + body).getBytes(StandardCharsets.UTF_8));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(in);
            if (head == null) {
                return new Answer(0, Map.of(), "", "the connection was closed");
            }
            String answer = new String(Http.readBody(in, head), StandardCharsets.UTF_8);
            return new Answer(Integer.parseInt(head.firstLine.split(" ")[1]), head.headers, answer, "");
        } catch (IOException failed) {
            return new Answer(0, Map.of(), "", failed.toString());
        }
    }
}
