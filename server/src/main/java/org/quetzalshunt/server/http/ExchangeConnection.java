package org.quetzalshunt.server.http;

import io.netty.channel.ChannelFuture;

/** The connection of an exchange, as far as it depends on the end of the exchange. */
interface ExchangeConnection {
    /** Whether the response of the exchange is the last one of its connection. */
    boolean endsWithResponse();

    /** Called once when the exchange ends. */
    void onExchangeEnd();

    /** Closes the connection after a response that announced it. */
    void closeAfter(ChannelFuture written);
}
