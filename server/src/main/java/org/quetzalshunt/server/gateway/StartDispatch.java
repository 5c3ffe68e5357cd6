package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.quetzalshunt.core.dispatch.Dispatcher;
import org.quetzalshunt.core.dispatch.ProgramStart;
import org.quetzalshunt.core.dispatch.QueueExit;
import org.quetzalshunt.core.dispatch.SlotView;
import org.quetzalshunt.core.dispatch.StartDecision;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.route.RequestKind;
import org.quetzalshunt.core.routing.EndpointTable;
import org.quetzalshunt.core.routing.ServiceUse;

/**
 * Lets first turns of programs wait for a free slot, as the {@link Dispatcher} decides. Without {@link
 * Mechanism#DISPATCH_QUEUE}, all requests continue at once.
 */
final class StartDispatch {
    /** Interval at which waiting first turns are checked; well below the time of a turn. */
    private static final long CHECK_MILLIS = 10;

    private record Waiting(AdmittedRequest admitted, Runnable resume) {}

    private final Dispatcher dispatcher;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final DispatchReport report;
    private long nextId;
    private boolean checkScheduled;
    private boolean stopping;

    private StartDispatch(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
        this.report = new DispatchReport(dispatcher);
    }

    static StartDispatch create(EndpointTable endpoints, IntSupplier liveVms, long seed) {
        return new StartDispatch(Dispatcher.create(
                new SlotView() {
                    @Override
                    public ServiceUse use(long nowMillis, String service) {
                        return endpoints.use(nowMillis, service);
                    }

                    @Override
                    public int liveVms() {
                        return liveVms.getAsInt();
                    }
                },
                seed));
    }

    void registerGauges(GatewayMetrics metrics) {
        report.registerGauges(metrics);
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    /** Continues a request, at once or when it has a slot; a request that gets none is refused. */
    void await(Gateway gateway, AdmittedRequest admitted, Runnable resume) {
        if (admitted.route().kind() != RequestKind.STREAM || !gateway.isEnabled(Mechanism.DISPATCH_QUEUE)) {
            resume.run();
            return;
        }
        long now = gateway.clock().now();
        boolean begins = admitted.beginsProgram();
        if (!begins) {
            proceed(now, admitted, false, resume);
            return;
        }
        ProgramStart start = start(admitted);
        StartDecision decision = dispatcher.offer(now, start);
        report.logShortage(gateway, now, start.service());
        if (!(decision instanceof StartDecision.Wait)) {
            apply(gateway, new Waiting(admitted, resume), decision);
            return;
        }
        waiting.put(start.id(), new Waiting(admitted, resume));
        report.registerGauges(gateway, start.service(), start.urgency());
        admitted.exchange().onClose(() -> withdraw(gateway, start.id()));
        if (stopping) {
            stop(gateway);
            return;
        }
        scheduleCheck(gateway);
    }

    private ProgramStart start(AdmittedRequest admitted) {
        return new ProgramStart(
                nextId++,
                admitted.service().name(),
                admitted.route().name(),
                admitted.accountName(),
                admitted.urgency(),
                admitted.arrivedMillis(),
                admitted.deadlineMillis(),
                admitted.route().targetLatencyMillis(),
                admitted.request().programLeftMillis(),
                admitted.request().lengthHint());
    }

    private void apply(Gateway gateway, Waiting request, StartDecision decision) {
        AdmittedRequest admitted = request.admitted();
        if (decision instanceof StartDecision.Refuse refuse) {
            gateway.metrics().countStart(refuse.code().name().toLowerCase(Locale.ROOT));
            Refusal refusal = Refusal.notRunRetryAfter(refuse.code(), refuse.detail(), refuse.retryAfterMillis());
            ResultReporter.refuse(gateway, admitted, refusal, Optional.empty());
            return;
        }
        long waitedMillis = gateway.clock().now() - admitted.arrivedMillis();
        gateway.metrics().countStart("sent");
        gateway.metrics().recordSlotWait(waitedMillis);
        admitted.timeline().markReached(RequestTimeline.Step.SLOT);
        proceed(gateway.clock().now(), admitted, true, request.resume());
    }

    private void proceed(long now, AdmittedRequest admitted, boolean begins, Runnable resume) {
        dispatcher
                .forecasts()
                .onTurn(
                        now,
                        admitted.service().name(),
                        admitted.route().name(),
                        begins,
                        admitted.request().conversation());
        resume.run();
    }

    private void scheduleCheck(Gateway gateway) {
        if (checkScheduled || waiting.isEmpty()) {
            return;
        }
        checkScheduled = true;
        gateway.executor().schedule(() -> check(gateway), CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check(Gateway gateway) {
        checkScheduled = false;
        long now = gateway.clock().now();
        for (QueueExit exit : dispatcher.takeDue(now)) {
            Waiting request = waiting.remove(exit.start().id());
            // A task each, so that an error in one request does not hold up the others.
            gateway.executor().execute(() -> apply(gateway, request, exit.decision()));
            report.logShortage(gateway, now, exit.start().service());
        }
        scheduleCheck(gateway);
    }

    private void withdraw(Gateway gateway, long id) {
        if (!dispatcher.withdraw(id)) {
            return;
        }
        gateway.metrics().countStart("cancelled");
        ResultReporter.logResult(
                gateway,
                waiting.remove(id).admitted(),
                ResultCode.CANCELLED,
                "the caller disconnected while it waited for a slot",
                Optional.empty());
    }

    /** Refuses all waiting requests, and from now on those that would wait; others are served as before. */
    void stop(Gateway gateway) {
        stopping = true;
        StartDecision refuse = new StartDecision.Refuse(
                ResultCode.STOPPING, "this VM stops and has no free slot", StopReport.RETRY_AFTER_MILLIS);
        dispatcher.clear().forEach(start -> apply(gateway, waiting.remove(start.id()), refuse));
    }

    /** Gives back the slot of a first turn that was refused after it had got one. */
    void onNotSent(Gateway gateway, AdmittedRequest admitted) {
        if (admitted.beginsProgram() && gateway.isEnabled(Mechanism.DISPATCH_QUEUE)) {
            dispatcher.giveBack(admitted.service().name());
        }
    }

    /** Records the time of a complete answer. */
    void onTurnEnded(Gateway gateway, AdmittedRequest admitted, long tookMillis) {
        if (admitted.route().kind() == RequestKind.STREAM && gateway.isEnabled(Mechanism.DISPATCH_QUEUE)) {
            dispatcher
                    .forecasts()
                    .onTurnEnded(
                            gateway.clock().now(),
                            admitted.service().name(),
                            admitted.route().name(),
                            admitted.request().conversation(),
                            tookMillis);
        }
    }

    /** Priority of a request at its engine. */
    int enginePriority(Gateway gateway, AdmittedRequest admitted) {
        boolean orderedHere = admitted.route().kind() == RequestKind.STREAM
                && gateway.isEnabled(Mechanism.SLACK_PRIORITY)
                && gateway.isEnabled(Mechanism.DISPATCH_QUEUE);
        return orderedHere
                ? dispatcher.enginePriority(
                        gateway.clock().now(), admitted.service().name(), admitted.urgency())
                : admitted.urgency();
    }

    /** Adds the state of the queues to the state dump. */
    void addTo(ObjectNode dump, long nowMillis) {
        report.addTo(dump, nowMillis);
    }

    /** Adds the fields of a turn to its log line. */
    void addTo(ObjectNode line, Gateway gateway, AdmittedRequest admitted) {
        if (admitted.route().kind() == RequestKind.STREAM && gateway.isEnabled(Mechanism.DISPATCH_QUEUE)) {
            line.put("beginsProgram", admitted.beginsProgram());
            line.put(
                    "forecastMillis",
                    Math.round(dispatcher
                            .forecasts()
                            .route(admitted.route().name())
                            .programMillis()));
        }
    }
}
