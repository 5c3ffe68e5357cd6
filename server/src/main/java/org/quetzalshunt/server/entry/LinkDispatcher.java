package org.quetzalshunt.server.entry;

import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalshunt.server.transport.LinkListener;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.Message;

/** Turns what links report into events for one consumer. */
final class LinkDispatcher implements LinkListener {
    enum Kind {
        OPENED,
        MESSAGE,
        CLOSED
    }

    /** Something that happened on a link; a message is there only for {@link Kind#MESSAGE}. */
    record Event(Kind kind, PeerLink link, Optional<Message> message) {}

    private final Consumer<Event> consumer;

    LinkDispatcher(Consumer<Event> consumer) {
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
