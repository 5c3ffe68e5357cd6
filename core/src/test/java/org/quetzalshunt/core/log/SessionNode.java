package org.quetzalshunt.core.log;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A process with one session, and the outcomes of its submitted records. */
final class SessionNode {
    final RecordingFold fold = new RecordingFold();
    final Map<String, Submission> outcomes = new LinkedHashMap<>();
    final FakeLog.Transport transport;
    final StreamSession session;
    private final FakeLog log;

    private SessionNode(FakeLog log, String writer, StreamSettings settings) {
        this.log = log;
        transport = log.transport();
        session = StreamSession.create("stream", settings, writer, transport, fold);
        transport.attach(session);
    }

    static SessionNode start(FakeLog log, String writer, StreamSettings settings) {
        return new SessionNode(log, writer, settings);
    }

    static SessionNode tailing(FakeLog log, String writer) {
        return start(log, writer, StreamSettings.tailing(10, writer.hashCode()));
    }

    void submit(String record) {
        session.submit(log.now(), record.getBytes(StandardCharsets.UTF_8), submission -> {
            if (outcomes.put(record, submission) != null) {
                throw new AssertionError("more than one outcome for " + record);
            }
        });
    }

    void tick() {
        session.tick(log.now());
    }
}
