package org.quetzalshunt.server.sidecar;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Consumer;
import org.quetzalshunt.core.attempt.EndpointEvent;
import org.quetzalshunt.core.attempt.EndpointHeaders;
import org.quetzalshunt.core.attempt.EventStreamParser;
import org.quetzalshunt.server.http.HttpResponseListener;

/** Converts one HTTP response of the endpoint into events for the gate, each part as soon as it arrives. */
final class AttemptResponseListener implements HttpResponseListener {
    private static final int STATUS_OK = 200;

    private final long attempt;
    private final int run;
    private final Consumer<EndpointEvent> events;
    private final Runnable endAction;
    private final boolean isChat;
    private final EventStreamParser parser = EventStreamParser.create(this::onStreamEvent);
    private boolean isEventStream;
    private boolean eventTooLong;
    private boolean ended;

    private AttemptResponseListener(
            long attempt, int run, boolean isChat, Consumer<EndpointEvent> events, Runnable endAction) {
        this.attempt = attempt;
        this.run = run;
        this.isChat = isChat;
        this.events = events;
        this.endAction = endAction;
    }

    static AttemptResponseListener of(
            long attempt, int run, boolean isChat, Consumer<EndpointEvent> events, Runnable endAction) {
        return new AttemptResponseListener(attempt, run, isChat, events, endAction);
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
        if (!isEventStream) {
            events.accept(new EndpointEvent.Data(attempt, run, data));
            return;
        }
        eventTooLong = !parser.accept(data);
    }

    @Override
    public boolean exceedsLimit() {
        return eventTooLong;
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
