package org.quetzalshunt.server.sidecar;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Consumer;
import org.quetzalshunt.core.attempt.EndpointEvent;
import org.quetzalshunt.core.attempt.EndpointHeaders;
import org.quetzalshunt.core.attempt.EventStreamParser;
import org.quetzalshunt.core.memory.ResponseBudget;
import org.quetzalshunt.server.http.HttpResponseListener;

/**
 * Converts one HTTP response of the endpoint into events for the gate, each part as soon as it arrives. A body that is no
 * stream of events is held by the gate and by the entry until its end, so that its size is limited.
 */
final class AttemptResponseListener implements HttpResponseListener {
    private static final int STATUS_OK = 200;

    private final long attempt;
    private final int run;
    private final Consumer<EndpointEvent> events;
    private final ResponseBudget.Account held;
    private final Runnable endAction;
    private final boolean isChat;
    private final EventStreamParser parser = EventStreamParser.create(this::onStreamEvent);
    private boolean isEventStream;
    private boolean tooLarge;
    private long bodyBytes;
    private boolean ended;

    private AttemptResponseListener(
            long attempt,
            int run,
            boolean isChat,
            Consumer<EndpointEvent> events,
            ResponseBudget.Account held,
            Runnable endAction) {
        this.attempt = attempt;
        this.run = run;
        this.isChat = isChat;
        this.events = events;
        this.held = held;
        this.endAction = endAction;
    }

    static AttemptResponseListener of(
            long attempt,
            int run,
            boolean isChat,
            Consumer<EndpointEvent> events,
            ResponseBudget.Account held,
            Runnable endAction) {
        return new AttemptResponseListener(attempt, run, isChat, events, held, endAction);
    }

    boolean isEnded() {
        return ended;
    }

    @Override
    public void onHead(int status, HttpHeaders headers) {
        isEventStream = isChat && status == STATUS_OK;
        events.accept(new EndpointEvent.Head(attempt, run, status, EndpointHeaders.ofAnswer(headers)));
    }

    @Override
    public void onChunk(byte[] data) {
        if (isEventStream) {
            tooLarge = !parser.accept(data);
            return;
        }
        bodyBytes += data.length;
        tooLarge = !held.set(bodyBytes);
        if (!tooLarge) {
            events.accept(new EndpointEvent.Data(attempt, run, data));
        }
    }

    @Override
    public boolean exceedsLimit() {
        return tooLarge;
    }

    @Override
    public void onEnd() {
        end(new EndpointEvent.ResponseEnded(attempt, run));
    }

    @Override
    public void onFailure(String reason, boolean requestMayHaveArrived) {
        end(new EndpointEvent.ResponseFailed(attempt, run, requestMayHaveArrived));
    }

    private void end(EndpointEvent event) {
        if (ended) {
            return;
        }
        ended = true;
        endAction.run();
        events.accept(event);
    }

    private void onStreamEvent(byte[] data) {
        if (ChatChunks.isEndMarker(data)) {
            events.accept(new EndpointEvent.EndMarker(attempt, run));
            return;
        }
        events.accept(new EndpointEvent.Data(attempt, run, data));
        ChatChunks.parse(attempt, run, data).ifPresent(events);
    }
}
