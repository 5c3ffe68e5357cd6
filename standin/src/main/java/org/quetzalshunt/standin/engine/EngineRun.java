package org.quetzalshunt.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.standin.control.Run;
import org.quetzalshunt.standin.control.RunState;
import org.quetzalshunt.standin.control.StandinServer;

/** One request in the engine: its progress, the events emitted so far, and the connections that read them. */
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
    private final List<HttpExchange> streamReaders = new ArrayList<>();
    private final List<HttpExchange> completionReaders = new ArrayList<>();
    private int cachedTokens;
    private int prefillRemaining;
    private int emittedWords;
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

    /** Creates a run with at least {@code slowMillis} between two words. */
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
        return !streamReaders.isEmpty() || !completionReaders.isEmpty();
    }

    /** Closes the connections of all readers once half of the answer is emitted. The run continues. */
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

    /** Emits one word if it is due. The next word is due at least {@code extraMillis} later. */
    boolean emit(long nowMillis, long extraMillis) {
        if (nowMillis < nextWordMillis) {
            return false;
        }
        nextWordMillis = nowMillis + Math.max(slowMillis, extraMillis);
        publish(bodies.wordEvent(answer, emittedWords));
        emittedWords++;
        if (cutHalfway && emittedWords * 2 >= answer.words().size()) {
            disconnectReaders();
        }
        return true;
    }

    boolean allWordsEmitted() {
        return emittedWords >= answer.words().size();
    }

    void finish() {
        publish(bodies.finishEvent(answer));
        if (request.includeUsage()) {
            publish(bodies.usageEvent(usage()));
        }
        publish(ChatBodies.DONE_EVENT);
        ended = true;
        record.setState(RunState.DONE);
        byte[] whole = bodies.completion(answer, usage());
        completionReaders.forEach(exchange -> StandinServer.json(exchange, 200, whole));
        completionReaders.clear();
        streamReaders.forEach(HttpExchange::end);
        streamReaders.clear();
    }

    /** Ends the run without the rest of its answer and closes the connections of its readers. */
    void abort(RunState state) {
        if (ended) {
            return;
        }
        ended = true;
        record.setState(state);
        closeReaders();
    }

    void sendCompletion(HttpExchange exchange, Runnable onDisconnect) {
        completionReaders.add(exchange);
        exchange.onClose(() -> {
            completionReaders.remove(exchange);
            onDisconnect.run();
        });
    }

    /** Sends the events from index {@code from} on, then each new event as soon as it is emitted. */
    void stream(HttpExchange exchange, int from, Runnable onDisconnect) {
        exchange.begin(200, EVENT_STREAM_HEADERS);
        for (int i = from; i < events.size(); i++) {
            exchange.write(events.get(i));
        }
        if (ended) {
            exchange.end();
            return;
        }
        streamReaders.add(exchange);
        exchange.onClose(() -> {
            streamReaders.remove(exchange);
            onDisconnect.run();
        });
    }

    private ObjectNode usage() {
        return ChatBodies.usage(promptTokens, cachedTokens, emittedWords);
    }

    private void publish(byte[] event) {
        events.add(event);
        streamReaders.forEach(exchange -> exchange.write(event));
    }

    private void disconnectReaders() {
        cutHalfway = false;
        record.setState(RunState.CUT);
        closeReaders();
    }

    private void closeReaders() {
        List<HttpExchange> readers = new ArrayList<>(streamReaders);
        readers.addAll(completionReaders);
        streamReaders.clear();
        completionReaders.clear();
        readers.forEach(HttpExchange::abort);
    }
}
