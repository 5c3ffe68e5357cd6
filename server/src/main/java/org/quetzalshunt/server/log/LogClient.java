package org.quetzalshunt.server.log;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.quetzalshunt.core.log.LogOutage;
import org.quetzalshunt.core.log.LogTransport;
import org.quetzalshunt.core.log.ReadAnswer;
import org.quetzalshunt.core.log.StreamSession;
import org.quetzalshunt.server.http.BufferedResponseListener;
import org.quetzalshunt.server.http.HttpClient;
import org.tinylog.Logger;

/**
 * Client of the log service: sends the appends and reads of stream sessions and passes the responses back to them. Each
 * call has a time limit. After a failed call, the next one goes to the next configured address.
 */
public final class LogClient implements LogTransport {
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final int MAXIMUM_READ_BYTES = 4 * 1024 * 1024;

    /**
     * Larger than the largest read: the records are encoded in base64, four bytes for three, and the service may exceed
     * the requested size by one record of 1 MiB.
     */
    private static final int MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;

    private static final int STATUS_OK = 200;
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;

    private final HttpClient http;
    private final List<InetSocketAddress> addresses;
    private final LongSupplier clock;
    private final Map<String, StreamSession> sessions = new HashMap<>();
    /** Number of the newest read of each stream; the answers of older reads are dropped. */
    private final Map<String, Long> readSerials = new HashMap<>();

    private final LogOutage outage = LogOutage.create();
    private int addressIndex;
    private long appends;
    private long failures;

    private LogClient(HttpClient http, List<InetSocketAddress> addresses, LongSupplier clock) {
        this.http = http;
        this.addresses = List.copyOf(addresses);
        this.clock = clock;
    }

    /**
     * Creates a client.
     *
     * @param addresses at least one address of the log service
     * @param clock the current time in milliseconds, the same as the sessions use
     */
    public static LogClient create(HttpClient http, List<InetSocketAddress> addresses, LongSupplier clock) {
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("at least one address of the log service is required");
        }
        return new LogClient(http, addresses, clock);
    }

    /** Routes the responses for a stream to its session; must be called before the first tick of the session. */
    public void attach(StreamSession session) {
        sessions.put(session.stream(), session);
    }

    /** Number of appends sent since the start. */
    public long appends() {
        return appends;
    }

    /** Number of calls without a valid response since the start. */
    public long failures() {
        return failures;
    }

    @Override
    public void append(String stream, byte[] batch) {
        appends++;
        send("POST", "/log/" + stream, batch, TIMEOUT_MILLIS, new BufferedResponseListener.Receiver() {
            @Override
            public void onAnswer(int status, byte[] body) {
                onAppendResponse(stream, status, body);
            }

            @Override
            public void onFailure(String reason, boolean requestMayHaveArrived) {
                onAppendFailure(stream, reason, requestMayHaveArrived);
            }
        });
    }

    @Override
    public void read(String stream, long from, long waitMillis) {
        String uri = "/log/" + stream + "?from=" + from + "&maximumBytes=" + MAXIMUM_READ_BYTES + "&waitMillis="
                + waitMillis;
        long serial = nextReadSerial(stream);
        send("GET", uri, new byte[0], waitMillis + TIMEOUT_MILLIS, new BufferedResponseListener.Receiver() {
            @Override
            public void onAnswer(int status, byte[] body) {
                if (isCurrentRead(stream, serial)) {
                    onReadResponse(stream, status, body);
                }
            }

            @Override
            public void onFailure(String reason, boolean requestMayHaveArrived) {
                if (isCurrentRead(stream, serial)) {
                    onReadFailure(stream, reason);
                }
            }
        });
    }

    @Override
    public void abandonRead(String stream) {
        Logger.debug("read of stream {} abandoned", stream);
        nextReadSerial(stream);
    }

    private long nextReadSerial(String stream) {
        return readSerials.merge(stream, 1L, Long::sum);
    }

    private boolean isCurrentRead(String stream, long serial) {
        return readSerials.get(stream) == serial;
    }

    private void send(
            String method, String uri, byte[] body, long timeoutMillis, BufferedResponseListener.Receiver receiver) {
        InetSocketAddress address = addresses.get(addressIndex % addresses.size());
        http.send(
                address,
                method,
                uri,
                Map.of(),
                body,
                timeoutMillis,
                BufferedResponseListener.to(receiver, MAXIMUM_RESPONSE_BYTES));
    }

    private void onAppendResponse(String stream, int status, byte[] body) {
        OptionalLong offset = status == STATUS_OK ? LogResponseParser.parseAppend(body) : OptionalLong.empty();
        if (offset.isEmpty()) {
            // A client error such as 413 or 429 means that the append had no effect. A server error may come from an
            // intermediary that timed out while the log service completed the append.
            boolean refused = status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR;
            onAppendFailure(stream, "status " + status, !refused);
            return;
        }
        recordAnswer();
        session(stream).ifPresent(session -> session.onAppended(clock.getAsLong(), offset.getAsLong()));
    }

    private void onAppendFailure(String stream, String reason, boolean mayHaveTakenEffect) {
        recordFailure("append to", stream, reason);
        session(stream).ifPresent(session -> session.onAppendFailed(clock.getAsLong(), mayHaveTakenEffect));
    }

    private void onReadResponse(String stream, int status, byte[] body) {
        Optional<ReadAnswer> answer = status == STATUS_OK ? LogResponseParser.parseRead(body) : Optional.empty();
        if (answer.isEmpty()) {
            onReadFailure(stream, "status " + status);
            return;
        }
        recordAnswer();
        session(stream).ifPresent(session -> session.onRead(clock.getAsLong(), answer.get()));
    }

    private void onReadFailure(String stream, String reason) {
        recordFailure("read of", stream, reason);
        session(stream).ifPresent(session -> session.onReadFailed(clock.getAsLong()));
    }

    private void recordAnswer() {
        long now = clock.getAsLong();
        if (outage.endsWithAnswer(now)) {
            Logger.info("the log answers again; {} streams retry soon", sessions.size());
            sessions.values().forEach(session -> session.onLogAvailable(now));
        }
    }

    private void recordFailure(String call, String stream, String reason) {
        failures++;
        outage.onFailure(clock.getAsLong());
        addressIndex = (addressIndex + 1) % addresses.size();
        Logger.debug("{} stream {} failed: {}", call, stream, reason);
    }

    private Optional<StreamSession> session(String stream) {
        return Optional.ofNullable(sessions.get(stream));
    }
}
