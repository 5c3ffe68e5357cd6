package org.quetzalshunt.server.entry;

import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalshunt.server.transport.LinkListener;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.Message;

/** Converts the callbacks of links to events for one consumer. */
final class LinkEventAdapter implements LinkListener {
    enum Kind {
        OPENED,
        MESSAGE,
        CLOSED
    }

    /** An event on a link; the message is present only for {@link Kind#MESSAGE}. */
    record Event(Kind kind, PeerLink link, Optional<Message> message) {}

    private final Consumer<Event> consumer;

    LinkEventAdapter(Consumer<Event> consumer) {
        this.consumer = consumer;
    }

    @Override
    public void onOpen(PeerLink link) {
        consumer.accept(new Event(Kind.OPENED, link, Optional.empty()));
    }

    @Override
    public void onMessage(PeerLink link, Message message) {
        consumer.accept(new Event(Kind.MESSAGE, link, Optional.of(message)));
    }

    @Override
    public void onClose(PeerLink link) {
        consumer.accept(new Event(Kind.CLOSED, link, Optional.empty()));
    }
}
