package org.quetzalshunt.server.sidecar;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Consumer;
import org.quetzalshunt.core.attempt.EndpointEvent;
import org.quetzalshunt.core.attempt.EndpointHeaders;
import org.quetzalshunt.core.attempt.EventStreamParser;
import org.quetzalshunt.server.http.HttpResponseListener;

/** Turns one HTTP answer of the endpoint into events for the gate. Each part is passed on as it comes. */
final class RunListener implements HttpResponseListener {
    private static final int STATUS_OK = 200;

    private final long attempt;
    private final int run;
    private final Consumer<EndpointEvent> events;
    private final Runnable whenEnded;
    private final boolean chat;
    private final EventStreamParser parser = EventStreamParser.create(this::onStreamEvent);
    private boolean stream;
    private boolean ended;

    private RunListener(long attempt, int run, boolean chat, Consumer<EndpointEvent> events, Runnable whenEnded) {
        this.attempt = attempt;
        this.run = run;
        this.chat = chat;
        this.events = events;
        this.whenEnded = whenEnded;
    }

    static RunListener of(long attempt, int run, boolean chat, Consumer<EndpointEvent> events, Runnable whenEnded) {
        return new RunListener(attempt, run, chat, events, whenEnded);
    }

    boolean isEnded() {
        return ended;
    }

    @Override
    public void onHead(int status, HttpHeaders headers) {
        stream = chat && status == STATUS_OK;
        events.accept(new EndpointEvent.Head(attempt, run, status, EndpointHeaders.ofAnswer(headers)));
    }

    @Override
    public void onChunk(byte[] data) {
        if (!stream) {
            events.accept(new EndpointEvent.Data(attempt, run, data));
            return;
        }
        if (!parser.accept(data)) {
            onFailure("an event is longer than allowed", true);
        }
    }

    @Override
    public void onEnd() {
        end(new EndpointEvent.Closed(attempt, run));
    }

    @Override
    public void onFailure(String reason, boolean requestMayHaveArrived) {
        end(new EndpointEvent.Failed(attempt, run, requestMayHaveArrived));
    }

    private void end(EndpointEvent event) {
        if (ended) {
            return;
        }
        ended = true;
        whenEnded.run();
        events.accept(event);
    }

    private void onStreamEvent(byte[] data) {
        if (ChatChunks.isEndMark(data)) {
            events.accept(new EndpointEvent.Done(attempt, run));
            return;
        }
        events.accept(new EndpointEvent.Data(attempt, run, data));
        ChatChunks.read(attempt, run, data).ifPresent(events);
    }
}
