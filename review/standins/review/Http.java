package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reading of HTTP/1.1 messages, as far as the stand-ins need it. */
final class Http {
    private Http() {}

    /** First line and headers; header names are in lower case. */
    static final class Head {
        String firstLine;
        final Map<String, String> headers = new LinkedHashMap<>();

        String header(String name) {
            return headers.get(name);
        }

        String header(String name, String otherwise) {
            return headers.getOrDefault(name, otherwise);
        }
    }

    /** Reads a head; null if the connection ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Head head = new Head();
        head.firstLine = line;
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            head.headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if (line == null) {
            throw new EOFException("the connection ended inside a head");
        }
        return head;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int octet = in.read(); octet != '\n'; octet = in.read()) {
            if (octet < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended inside a line");
            }
            if (octet != '\r') {
                line.write(octet);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Reads a body by its length or its chunks. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            return readChunks(in);
        }
        return readFully(in, Integer.parseInt(head.header("content-length", "0")));
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) {
                throw new EOFException("the connection ended before the last chunk");
            }
            byte[] chunk = readFully(in, Integer.parseInt(size.trim(), 16));
            readLine(in);
            if (chunk.length == 0) {
                return body.toByteArray();
            }
            body.writeBytes(chunk);
        }
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended inside a body");
        }
        return bytes;
    }
}
