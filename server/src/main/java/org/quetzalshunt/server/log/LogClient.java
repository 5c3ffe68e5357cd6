package org.quetzalshunt.server.log;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.quetzalshunt.core.log.LogTransport;
import org.quetzalshunt.core.log.ReadAnswer;
import org.quetzalshunt.core.log.StreamSession;
import org.quetzalshunt.server.http.HttpClient;
import org.quetzalshunt.server.http.WholeAnswer;
import org.tinylog.Logger;

/**
 * Carries the calls of stream sessions to the log service and its answers back. Each call has a deadline. After a
 * failed call the next one goes to the next address configured.
 */
public final class LogClient implements LogTransport {
    private static final long DEADLINE_MILLIS = 3_000;
    private static final int READ_BYTES = 4 * 1024 * 1024;

    /** Records come in base64, four octets for three, and the log may add one record of 1 MiB to what was asked. */
    private static final int MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

    private static final int OK = 200;
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;

    private final HttpClient http;
    private final List<InetSocketAddress> addresses;
    private final LongSupplier clock;
    private final Map<String, StreamSession> sessions = new HashMap<>();
    private int current;
    private long appends;
    private long failures;

    private LogClient(HttpClient http, List<InetSocketAddress> addresses, LongSupplier clock) {
        this.http = http;
        this.addresses = List.copyOf(addresses);
        this.clock = clock;
    }

    /**
     * Makes a client.
     *
     * @param addresses at least one address of the log service
     * @param clock the process's time in milliseconds, as its sessions get it
     */
    public static LogClient create(HttpClient http, List<InetSocketAddress> addresses, LongSupplier clock) {
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("the log service needs an address");
        }
        return new LogClient(http, addresses, clock);
    }

    /** Routes the answers for a stream to its session; to be called before the session's first tick. */
    public void attach(StreamSession session) {
        sessions.put(session.stream(), session);
    }

    /** Appends sent since the start. */
    public long appends() {
        return appends;
    }

    /** Calls that got no good answer since the start. */
    public long failures() {
        return failures;
    }

    @Override
    public void append(String stream, byte[] batch) {
        appends++;
        send("POST", "/log/" + stream, batch, DEADLINE_MILLIS, new WholeAnswer.Receiver() {
            @Override
            public void onAnswer(int status, byte[] body) {
                appendAnswered(stream, status, body);
            }

            @Override
            public void onFailure(String reason, boolean requestMayHaveArrived) {
                appendFailed(stream, reason, requestMayHaveArrived);
            }
        });
    }

    @Override
    public void read(String stream, long from, long waitMillis) {
        String uri = "/log/" + stream + "?from=" + from + "&maximumBytes=" + READ_BYTES + "&waitMillis=" + waitMillis;
        send("GET", uri, new byte[0], waitMillis + DEADLINE_MILLIS, new WholeAnswer.Receiver() {
            @Override
            public void onAnswer(int status, byte[] body) {
                readAnswered(stream, status, body);
            }

            @Override
            public void onFailure(String reason, boolean requestMayHaveArrived) {
                readFailed(stream, reason);
            }
        });
    }

    private void send(String method, String uri, byte[] body, long deadlineMillis, WholeAnswer.Receiver receiver) {
        InetSocketAddress address = addresses.get(current % addresses.size());
        http.send(address, method, uri, Map.of(), body, deadlineMillis, WholeAnswer.to(receiver, MAXIMUM_ANSWER_BYTES));
    }

    private void appendAnswered(String stream, int status, byte[] body) {
        OptionalLong offset = status == OK ? LogAnswers.appended(body) : OptionalLong.empty();
        if (offset.isEmpty()) {
            // A refusal for what the request is (413, 429) has no effect. A server error may come from something in
            // between that gave up waiting while the log went on.
            boolean refused = status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR;
            appendFailed(stream, "status " + status, !refused);
            return;
        }
        session(stream).ifPresent(session -> session.onAppended(clock.getAsLong(), offset.getAsLong()));
    }

    private void appendFailed(String stream, String reason, boolean mayHaveTakenEffect) {
        failed("append to", stream, reason);
        session(stream).ifPresent(session -> session.onAppendFailed(clock.getAsLong(), mayHaveTakenEffect));
    }

    private void readAnswered(String stream, int status, byte[] body) {
        Optional<ReadAnswer> answer = status == OK ? LogAnswers.read(body) : Optional.empty();
        if (answer.isEmpty()) {
            readFailed(stream, "status " + status);
            return;
        }
        session(stream).ifPresent(session -> session.onRead(clock.getAsLong(), answer.get()));
    }

    private void readFailed(String stream, String reason) {
        failed("read of", stream, reason);
        session(stream).ifPresent(session -> session.onReadFailed(clock.getAsLong()));
    }

    private void failed(String call, String stream, String reason) {
        failures++;
        current = (current + 1) % addresses.size();
        Logger.debug("{} stream {} failed: {}", call, stream, reason);
    }

    private Optional<StreamSession> session(String stream) {
        return Optional.ofNullable(sessions.get(stream));
    }
}
