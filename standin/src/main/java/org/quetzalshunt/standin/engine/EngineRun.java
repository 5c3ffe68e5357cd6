package org.quetzalshunt.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.standin.control.Run;
import org.quetzalshunt.standin.control.RunState;
import org.quetzalshunt.standin.control.StandinServer;

/** One request in the engine: its progress, the events made so far, and those who read them. */
final class EngineRun {
    private static final Map<String, String> EVENT_STREAM_HEADERS =
            Map.of("content-type", "text/event-stream", "cache-control", "no-cache");

    private final ChatRequest request;
    private final Run record;
    private final StandinAnswer answer;
    private final ChatBodies bodies;
    private final long slowMillis;
    private final int promptTokens;
    private final List<byte[]> events = new ArrayList<>();
    private final List<HttpExchange> streams = new ArrayList<>();
    private final List<HttpExchange> awaitingWhole = new ArrayList<>();
    private int cachedTokens;
    private int prefillRemaining;
    private int emitted;
    private long nextWordMillis;
    private boolean cutHalfway;
    private boolean ended;

    private EngineRun(ChatRequest request, Run record, ChatBodies bodies, long slowMillis) {
        this.request = request;
        this.record = record;
        this.answer = StandinAnswer.to(request.messages(), request.maximumTokens());
        this.bodies = bodies;
        this.slowMillis = slowMillis;
        this.promptTokens = request.promptTokens();
    }

    /** A run whose words are {@code slowMillis} further apart than the batch gives them. */
    static EngineRun create(ChatRequest request, Run record, ChatBodies bodies, long slowMillis) {
        return new EngineRun(request, record, bodies, slowMillis);
    }

    ChatRequest request() {
        return request;
    }

    Run record() {
        return record;
    }

    StandinAnswer answer() {
        return answer;
    }

    int prefillRemaining() {
        return prefillRemaining;
    }

    boolean ended() {
        return ended;
    }

    boolean hasReaders() {
        return !streams.isEmpty() || !awaitingWhole.isEmpty();
    }

    /** Closes the connections of those who read when half of the answer is out; the run goes on. */
    void cutHalfway() {
        cutHalfway = true;
    }

    void admit(int cached) {
        cachedTokens = Math.min(cached, promptTokens);
        prefillRemaining = promptTokens - cachedTokens;
    }

    void prefill(int tokens) {
        prefillRemaining -= tokens;
    }

    /** Gives one word if its time has come; {@code extraMillis} is added before the next one. */
    boolean emit(long nowMillis, long extraMillis) {
        if (nowMillis < nextWordMillis) {
            return false;
        }
        nextWordMillis = nowMillis + Math.max(slowMillis, extraMillis);
        publish(bodies.wordEvent(answer, emitted));
        emitted++;
        if (cutHalfway && emitted * 2 >= answer.words().size()) {
            cutReaders();
        }
        return true;
    }

    boolean lastWordOut() {
        return emitted >= answer.words().size();
    }

    void finish() {
        publish(bodies.finishEvent(answer));
        if (request.includeUsage()) {
            publish(bodies.usageEvent(usage()));
        }
        publish(ChatBodies.DONE_EVENT);
        ended = true;
        record.mark(RunState.DONE);
        byte[] whole = bodies.completion(answer, usage());
        awaitingWhole.forEach(exchange -> StandinServer.json(exchange, 200, whole));
        awaitingWhole.clear();
        streams.forEach(HttpExchange::end);
        streams.clear();
    }

    /** Ends the run without the rest of its answer; readers see their connection close. */
    void breakOff(RunState state) {
        if (ended) {
            return;
        }
        ended = true;
        record.mark(state);
        closeReaders();
    }

    void answerWhole(HttpExchange exchange, Runnable whenGone) {
        awaitingWhole.add(exchange);
        exchange.onClose(() -> {
            awaitingWhole.remove(exchange);
            whenGone.run();
        });
    }

    /** Sends the events from a number on, then each new one as it is made. */
    void stream(HttpExchange exchange, int from, Runnable whenGone) {
        exchange.begin(200, EVENT_STREAM_HEADERS);
        for (int i = from; i < events.size(); i++) {
            exchange.write(events.get(i));
        }
        if (ended) {
            exchange.end();
            return;
        }
        streams.add(exchange);
        exchange.onClose(() -> {
            streams.remove(exchange);
            whenGone.run();
        });
    }

    private ObjectNode usage() {
        return ChatBodies.usage(promptTokens, cachedTokens, emitted);
    }

    private void publish(byte[] event) {
        events.add(event);
        streams.forEach(exchange -> exchange.write(event));
    }

    private void cutReaders() {
        cutHalfway = false;
        record.mark(RunState.CUT);
        closeReaders();
    }

    private void closeReaders() {
        List<HttpExchange> readers = new ArrayList<>(streams);
        readers.addAll(awaitingWhole);
        streams.clear();
        awaitingWhole.clear();
        readers.forEach(HttpExchange::abort);
    }
}
