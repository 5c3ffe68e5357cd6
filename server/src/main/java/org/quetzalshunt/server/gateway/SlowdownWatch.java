package org.quetzalshunt.server.gateway;

import java.util.concurrent.TimeUnit;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.route.RequestKind;
import org.quetzalshunt.core.routing.RunningStream;
import org.quetzalshunt.core.routing.Selection;
import org.quetzalshunt.core.routing.SlowPhases;

/** Observes the events of one request's stream, so that an endpoint whose events are overdue gets no new work. */
final class SlowdownWatch {
    private final Gateway gateway;
    private final AdmittedRequest admitted;
    private RunningStream stream;

    SlowdownWatch(Gateway gateway, AdmittedRequest admitted) {
        this.gateway = gateway;
        this.admitted = admitted;
    }

    /** Starts the periodic sweep over the running streams of a gateway. */
    static void startSweep(Gateway gateway) {
        gateway.executor()
                .scheduleWithFixedDelay(
                        () -> sweep(gateway), SlowPhases.SWEEP_MILLIS, SlowPhases.SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void sweep(Gateway gateway) {
        if (gateway.isEnabled(Mechanism.SLOWDOWN_DETECTION)) {
            gateway.endpoints().slowPhases().sweep(gateway.clock().now());
        }
    }

    /** Starts to observe an attempt whose response is a stream. */
    void start(Selection selection) {
        if (admitted.route().kind() == RequestKind.STREAM && gateway.isEnabled(Mechanism.SLOWDOWN_DETECTION)) {
            stream = gateway.endpoints()
                    .slowPhases()
                    .start(
                            gateway.clock().now(),
                            selection.registration().id(),
                            selection.uncachedTokens(),
                            admitted.tokensPerEvent());
        }
    }

    void onEvents() {
        if (stream != null) {
            gateway.endpoints().slowPhases().onEvents(gateway.clock().now(), stream);
        }
    }

    /** Ends the observation of the attempt. */
    void end() {
        if (stream != null) {
            gateway.endpoints().slowPhases().end(stream);
            stream = null;
        }
    }
}
