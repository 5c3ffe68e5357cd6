package org.quetzalshunt.app.bench.scenario;

import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.core.decision.EndpointState;
import org.quetzalshunt.core.decision.Scheduler;

/** The simulated engines of a scenario, their faults, and the delayed load reports that they send to each entry. */
final class SimulatedFleet {
    static final String SERVICE = "tutor";
    private static final List<String> DATA_CENTRES = List.of("arusha-a", "arusha-b", "moshi-a", "karatu-a");

    /** Time after a crash at which the VM disappears from the platform's VM list. */
    private static final long VM_LIST_LAG_MILLIS = 10_000;

    /** Time for which a restarted engine runs at reduced speed while it loads the model and compiles. */
    private static final long WARM_UP_MILLIS = 10_000;

    private static final double WARM_UP_SPEED_FRACTION = 0.3;

    private record Snapshot(int running, int waiting, boolean isDown) {}

    private final Scenario scenario;
    private final long stepMillis;
    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final Snapshot[][] history;
    private int steps;

    SimulatedFleet(Scenario scenario, long stepMillis) {
        this.scenario = scenario;
        this.stepMillis = stepMillis;
        int snapshotCount = (int) (scenario.reports().lagMillis() / stepMillis) + 1;
        this.history = new Snapshot[scenario.engines()][snapshotCount];
        for (int engine = 0; engine < scenario.engines(); engine++) {
            engines.add(new SimulatedEngine(scenario.engine()));
        }
    }

    static String name(int engine) {
        return "engine-" + engine;
    }

    static int indexOf(String name) {
        return Integer.parseInt(name.substring("engine-".length()));
    }

    static String dataCentre(int number) {
        return DATA_CENTRES.get(number % DATA_CENTRES.size());
    }

    SimulatedEngine engine(int number) {
        return engines.get(number);
    }

    int size() {
        return engines.size();
    }

    double unitsDone() {
        return engines.stream().mapToDouble(SimulatedEngine::unitsDone).sum();
    }

    /** Records a snapshot of each engine for later, delayed reports, and sends the reports that are due. */
    void recordAndSendReports(long nowMillis, List<Scheduler> entries) {
        for (int engine = 0; engine < engines.size(); engine++) {
            SimulatedEngine simulated = engines.get(engine);
            history[engine][steps % history[engine].length] =
                    new Snapshot(simulated.running(), simulated.waiting(), simulated.isDown());
        }
        steps++;
        for (int entry = 0; entry < entries.size(); entry++) {
            for (int engine = 0; engine < engines.size(); engine++) {
                long offset = (engine * 31L + entry * 17L) * stepMillis;
                if ((nowMillis + offset) % scenario.reports().intervalMillis() < stepMillis) {
                    sendDelayedReport(nowMillis, engine, entries.get(entry));
                }
            }
        }
    }

    private void sendDelayedReport(long nowMillis, int engine, Scheduler entry) {
        Snapshot[] snapshots = history[engine];
        Snapshot oldest = snapshots[steps % snapshots.length];
        Snapshot snapshot = oldest == null ? snapshots[0] : oldest;
        if (!snapshot.isDown() && !engines.get(engine).isDown()) {
            sendReport(
                    nowMillis,
                    engine,
                    snapshot.running(),
                    snapshot.waiting(),
                    scenario.reports().lagMillis(),
                    entry);
        }
    }

    /** Reports an engine's current load without delay, since each answer contains it. */
    void sendCurrentReport(long nowMillis, int engine, Scheduler entry) {
        SimulatedEngine simulated = engines.get(engine);
        sendReport(nowMillis, engine, simulated.running(), simulated.waiting(), 0, entry);
    }

    private void sendReport(long nowMillis, int engine, int running, int waiting, long lagMillis, Scheduler entry) {
        entry.recordReport(
                nowMillis,
                new EndpointState(
                        name(engine),
                        SERVICE,
                        dataCentre(engine),
                        scenario.engine().slots(),
                        running,
                        waiting,
                        0,
                        nowMillis - lagMillis,
                        false,
                        true));
    }

    /** Starts and ends the faults that are due, and returns the requests lost to crashes in this step. */
    List<EngineRequest> applyFaults(long nowMillis, List<Scheduler> entries) {
        List<EngineRequest> lost = new ArrayList<>();
        for (Fault fault : scenario.faults()) {
            SimulatedEngine engine = engines.get(fault.engine());
            if (fault instanceof Fault.Slowdown slow) {
                boolean active = nowMillis >= slow.fromMillis() && nowMillis < slow.untilMillis();
                engine.setSpeedFraction(active ? slow.speedFraction() : 1);
                continue;
            }
            if (nowMillis == fault.fromMillis()) {
                lost.addAll(engine.crash());
            }
            if (nowMillis == fault.fromMillis() + VM_LIST_LAG_MILLIS) {
                entries.forEach(entry -> entry.removeEndpoint(name(fault.engine())));
            }
            if (nowMillis == fault.untilMillis()) {
                engine.restart();
                engine.setSpeedFraction(WARM_UP_SPEED_FRACTION);
            }
            if (nowMillis == fault.untilMillis() + WARM_UP_MILLIS) {
                engine.setSpeedFraction(1);
            }
        }
        return lost;
    }
}
