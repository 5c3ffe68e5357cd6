package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.ThreadLocalRandom;

/** A server of a plain service: works for a while and responds with 800 bytes. */
final class PlainServer extends Server {
    private static final String BODY = "x".repeat(800);
    private final int workMillis;

    PlainServer(String id, int slots, int workMillis, Record record) throws IOException {
        super(id, slots, record);
        this.workMillis = workMillis;
    }

    @Override
    byte[] run(Http.Head head, String requestId, OutputStream out) throws IOException {
        Clock.sleep(ThreadLocalRandom.current().nextLong(workMillis / 2, 3L * workMillis / 2));
        return write(out, successHead(requestId) + "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY);
    }
}
