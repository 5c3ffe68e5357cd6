package org.quetzalshunt.server.transport;

import org.quetzalshunt.wire.generated.Message;

/** Receives the events of links, on the event loop. */
public interface LinkListener {
    /** Called when both sides have proved the shared secret. */
    void onOpen(PeerLink link);

    /** Called for each message, in the order in which the peer sent them. */
    void onMessage(PeerLink link, Message message);

    /**
     * Called once for each {@link #onOpen} when the link has closed; the last messages sent may or may not have
     * arrived.
     */
    void onClose(PeerLink link);
}
