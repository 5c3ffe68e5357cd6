package org.quetzalshunt.standin.platform;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.standin.control.Fault;
import org.quetzalshunt.standin.control.FaultInjector;
import org.quetzalshunt.standin.control.FaultKind;
import org.quetzalshunt.standin.control.StandinServer;

/** Sends JSON responses, delayed while {@link FaultKind#SLOW} is active. The request itself takes effect at once. */
final class ResponseSender {
    private final EventLoop loop;
    private final FaultInjector faults;

    private ResponseSender(EventLoop loop, FaultInjector faults) {
        this.loop = loop;
        this.faults = faults;
    }

    static ResponseSender create(EventLoop loop, FaultInjector faults) {
        return new ResponseSender(loop, faults);
    }

    void json(HttpExchange exchange, byte[] body) {
        Optional<Fault> slow = faults.trigger(FaultKind.SLOW);
        if (slow.isEmpty()) {
            StandinServer.json(exchange, 200, body);
            return;
        }
        loop.schedule(() -> StandinServer.json(exchange, 200, body), slow.get().millis(), TimeUnit.MILLISECONDS);
    }
}
