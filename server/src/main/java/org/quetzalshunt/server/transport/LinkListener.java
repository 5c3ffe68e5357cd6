package org.quetzalshunt.server.transport;

import org.quetzalshunt.wire.generated.Message;

/** Hears what happens on links, on the event loop. */
public interface LinkListener {
    /** Both sides proved the secret. */
    void onOpen(PeerLink link);

    /** A message came, in the order in which the other side sent it. */
    void onMessage(PeerLink link, Message message);

    /** The link is gone; messages sent last may or may not have arrived. Heard once for each {@link #onOpen}. */
    void onClose(PeerLink link);
}
