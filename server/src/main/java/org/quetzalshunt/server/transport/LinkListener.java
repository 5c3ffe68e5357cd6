package org.quetzalshunt.server.transport;

import org.quetzalshunt.wire.generated.Message;

/** Receives the events of {@link PeerLink}s. All methods are called on the event loop. */
public interface LinkListener {
    /**
     * Called when the peer has proved that it knows the shared secret. The peer may still reject the proof of this
     * process; {@link #onClose} then follows.
     */
    void onOpen(PeerLink link);

    /** Called for each message, in the order in which the peer sent them. */
    void onMessage(PeerLink link, Message message);

    /**
     * Called once after each {@link #onOpen}, when the link is closed. Messages sent shortly before may not have
     * arrived.
     */
    void onClose(PeerLink link);
}
