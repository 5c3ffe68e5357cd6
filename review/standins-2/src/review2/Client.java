package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client on one connection that it keeps open. */
final class Client implements AutoCloseable {
    /**
     * What a client saw of one request.
     *
     * @param status 0 without an answer
     * @param problem why the answer is not complete; empty if it is
     */
    record Outcome(int status, String problem, Http.Message answer, long sentMillis, long endedMillis) {
        boolean complete() {
            return problem.isEmpty();
        }

        boolean served() {
            return complete() && status == 200;
        }

        @Override
        public String toString() {
            return (complete() ? "status " + status : "NO COMPLETE ANSWER: " + problem) + " after "
                    + (endedMillis - sentMillis) + " ms";
        }
    }

    private static final int SENDS_PER_SECOND = 20;
    private static final int MILLIS_PER_SECOND = 1_000;
    private final Socket socket = new Socket();
    private final InputStream in;
    private int bytesPerSecond;

    /** Connects; the receive buffer is left to the system if the size is 0. */
    Client(int port, int receiveBufferBytes, int readTimeoutMillis) throws IOException {
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(readTimeoutMillis);
        in = receiveBufferBytes > 0 ? socket.getInputStream() : new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request; headers end with CR LF each. */
    long send(String method, String path, String headers, byte[] body) throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n" + headers + "Content-Length: "
                + body.length + "\r\n\r\n";
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        int step = bytesPerSecond == 0 ? all.length : Math.max(1, bytesPerSecond / SENDS_PER_SECOND);
        long nextMillis = System.currentTimeMillis();
        for (int offset = 0; offset < all.length; offset += step) {
            socket.getOutputStream().write(all, offset, Math.min(step, all.length - offset));
            nextMillis += MILLIS_PER_SECOND / SENDS_PER_SECOND;
            if (bytesPerSecond > 0) {
                sleep(nextMillis - System.currentTimeMillis());
            }
        }
        return System.currentTimeMillis();
    }

    /** Sends later requests at a steady pace. */
    void pace(int newBytesPerSecond) {
        bytesPerSecond = newBytesPerSecond;
    }

    private static void sleep(long millis) throws IOException {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException interrupted) {
            throw new IOException(interrupted);
        }
    }

    /** Sends a request and reads its answer. */
    Outcome exchange(String method, String path, String headers, byte[] body) {
        long sentMillis = System.currentTimeMillis();
        try {
            sentMillis = send(method, path, headers, body);
            return receive(in, sentMillis);
        } catch (IOException failed) {
            return new Outcome(0, "not sent: " + failed.getMessage(), null, sentMillis, System.currentTimeMillis());
        }
    }

    /** Reads the answer at a steady pace. */
    Outcome receiveSlowly(long sentMillis, int bytesPerSecond) {
        return receive(new PacedStream(in, bytesPerSecond), sentMillis);
    }

    private static Outcome receive(InputStream from, long sentMillis) {
        try {
            Http.Message answer = Http.read(from, true);
            long now = System.currentTimeMillis();
            return answer == null
                    ? new Outcome(0, "the connection was closed", null, sentMillis, now)
                    : new Outcome(answer.status(), "", answer, sentMillis, now);
        } catch (IOException failed) {
            return new Outcome(0, failed.toString(), null, sentMillis, System.currentTimeMillis());
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Reads small parts at a steady pace, all the time. */
    private static final class PacedStream extends InputStream {
        private static final int STEP_MILLIS = 20;
        private final InputStream in;
        private final byte[] step;
        private int position;
        private int limit;
        private long nextMillis = System.currentTimeMillis();

        PacedStream(InputStream in, int bytesPerSecond) {
            this.in = in;
            this.step = new byte[Math.max(1, bytesPerSecond * STEP_MILLIS / 1_000)];
        }

        @Override
        public int read() throws IOException {
            if (position == limit) {
                pause();
                limit = in.read(step, 0, step.length);
                position = 0;
                if (limit <= 0) {
                    limit = 0;
                    return -1;
                }
            }
            return step[position++] & 0xff;
        }

        private void pause() throws IOException {
            long now = System.currentTimeMillis();
            nextMillis = Math.max(nextMillis + STEP_MILLIS, now);
            sleep(nextMillis - now);
        }
    }
}
