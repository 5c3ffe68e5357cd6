package org.quetzalshunt.core.log;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A process with one session, and what it heard of its records. */
final class SessionNode {
    final RecordingFold fold = new RecordingFold();
    final Map<String, Submission> heard = new LinkedHashMap<>();
    final FakeLog.Line line;
    final StreamSession session;
    private final FakeLog log;

    private SessionNode(FakeLog log, String writer, StreamSettings settings) {
        this.log = log;
        line = log.line();
        session = StreamSession.create("stream", settings, writer, line, fold);
        line.attach(session);
    }

    static SessionNode start(FakeLog log, String writer, StreamSettings settings) {
        return new SessionNode(log, writer, settings);
    }

    static SessionNode tailing(FakeLog log, String writer) {
        return start(log, writer, StreamSettings.tailing(10, writer.hashCode()));
    }

    void submit(String record) {
        session.submit(log.now(), record.getBytes(StandardCharsets.UTF_8), submission -> {
            if (heard.put(record, submission) != null) {
                throw new AssertionError("heard twice of " + record);
            }
        });
    }

    void tick() {
        session.tick(log.now());
    }
}
