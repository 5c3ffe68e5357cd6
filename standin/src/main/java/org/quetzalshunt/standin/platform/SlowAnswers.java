package org.quetzalshunt.standin.platform;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.standin.control.Fault;
import org.quetzalshunt.standin.control.FaultKind;
import org.quetzalshunt.standin.control.FaultSwitches;
import org.quetzalshunt.standin.control.StandinServer;

/** Sends answers, late while the platform is slow. What was asked takes effect at once; only the answer is late. */
final class SlowAnswers {
    private final EventLoop loop;
    private final FaultSwitches faults;

    private SlowAnswers(EventLoop loop, FaultSwitches faults) {
        this.loop = loop;
        this.faults = faults;
    }

    static SlowAnswers create(EventLoop loop, FaultSwitches faults) {
        return new SlowAnswers(loop, faults);
    }

    void json(HttpExchange exchange, byte[] body) {
        Optional<Fault> slow = faults.hit(FaultKind.SLOW);
        if (slow.isEmpty()) {
            StandinServer.json(exchange, 200, body);
            return;
        }
        loop.schedule(() -> StandinServer.json(exchange, 200, body), slow.get().millis(), TimeUnit.MILLISECONDS);
    }
}
