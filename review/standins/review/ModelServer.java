package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;

/**
 * A language model server: streams as many tokens as the second number of X-Token-Usage allows, in events of
 * {@link #CHUNK_TOKENS} tokens with increasing ids.
 */
final class ModelServer extends Server {
    static final int CHUNK_TOKENS = 14;
    private static final long FIRST_TOKEN_MILLIS = 15;
    private static final long EVENT_MILLIS = 3;

    ModelServer(String id, int slots, Record record) throws IOException {
        super(id, slots, record);
    }

    @Override
    byte[] run(Http.Head head, String requestId, OutputStream out) throws IOException {
        int events = Integer.parseInt(head.header("x-token-usage").split(",")[1]) / CHUNK_TOKENS;
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        Clock.sleep(FIRST_TOKEN_MILLIS);
        all.writeBytes(write(out, successHead(requestId)
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int number = 1; number <= events; number++) {
            Clock.sleep(EVENT_MILLIS);
            String event = "id: " + number + "\ndata: " + requestId + "-" + number + "\n\n";
            all.writeBytes(write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
        }
        all.writeBytes(write(out, "0\r\n\r\n"));
        return all.toByteArray();
    }

    /** The data of all events of a response, each followed by a line feed, as later prompts must contain it. */
    static String dataOf(String responseBody) {
        StringBuilder data = new StringBuilder();
        responseBody.lines().filter(line -> line.startsWith("data: ")).forEach(line -> data.append(line.substring(6))
                .append('\n'));
        return data.toString();
    }
}
