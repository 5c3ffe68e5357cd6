package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http {
    /** Header names are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    private Http() {}

    /**
     * Reads one message; null if the connection ended before its first byte.
     *
     * @param response whether a message without a length has a body that ends with the connection
     */
    static Message read(InputStream in, boolean response) throws IOException {
        String startLine = line(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = require(line(in)); !line.isEmpty(); line = require(line(in))) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Message(startLine, headers, body(in, headers, response));
    }

    private static byte[] body(InputStream in, Map<String, String> headers, boolean response) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(require(line(in)).trim(), 16);
                body.writeBytes(exactly(in, size));
                require(line(in));
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        if (headers.containsKey("content-length")) {
            return exactly(in, Integer.parseInt(headers.get("content-length")));
        }
        return response ? in.readAllBytes() : new byte[0];
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended after " + bytes.length + " of " + size + " bytes of the body");
        }
        return bytes;
    }

    private static String require(String line) throws EOFException {
        if (line == null) {
            throw new EOFException("the connection ended inside a message");
        }
        return line;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
        if (line.size() > 0) {
            throw new EOFException("the connection ended inside a line");
        }
        return null;
    }

    static void respond(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\n" + headers + "content-length: " + body.length + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }
}
