package org.quetzalshunt.app.bench.play;

import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.core.decision.EndpointState;
import org.quetzalshunt.core.decision.Scheduler;

/** The engines of a play, their faults, and the lagging reports that each entry gets of them. */
final class EngineFleet {
    static final String SERVICE = "tutor";
    private static final List<String> DATA_CENTRES = List.of("arusha-a", "arusha-b", "moshi-a", "karatu-a");

    /** Age at which the platform's list drops a VM that is gone. */
    private static final long LIST_LAG_MILLIS = 10_000;

    /** Time in which an engine that came back computes at a part of its speed, while it loads and compiles. */
    private static final long WARM_UP_MILLIS = 10_000;

    private static final double WARM_UP_SPEED_PART = 0.3;

    private record Snapshot(int running, int waiting, boolean down) {}

    private final Play play;
    private final long stepMillis;
    private final List<EngineFake> engines = new ArrayList<>();
    private final Snapshot[][] history;
    private int steps;

    EngineFleet(Play play, long stepMillis) {
        this.play = play;
        this.stepMillis = stepMillis;
        int kept = (int) (play.reports().lagMillis() / stepMillis) + 1;
        this.history = new Snapshot[play.engines()][kept];
        for (int engine = 0; engine < play.engines(); engine++) {
            engines.add(new EngineFake(play.engine()));
        }
    }

    static String name(int engine) {
        return "engine-" + engine;
    }

    static int number(String name) {
        return Integer.parseInt(name.substring("engine-".length()));
    }

    static String dataCentre(int number) {
        return DATA_CENTRES.get(number % DATA_CENTRES.size());
    }

    EngineFake engine(int number) {
        return engines.get(number);
    }

    int size() {
        return engines.size();
    }

    double unitsDone() {
        return engines.stream().mapToDouble(EngineFake::unitsDone).sum();
    }

    /** Keeps what reports will say later, and sends those that are due. */
    void report(long nowMillis, List<Scheduler> entries) {
        for (int engine = 0; engine < engines.size(); engine++) {
            EngineFake fake = engines.get(engine);
            history[engine][steps % history[engine].length] = new Snapshot(fake.running(), fake.waiting(), fake.down());
        }
        steps++;
        for (int entry = 0; entry < entries.size(); entry++) {
            for (int engine = 0; engine < engines.size(); engine++) {
                long offset = (engine * 31L + entry * 17L) * stepMillis;
                if ((nowMillis + offset) % play.reports().everyMillis() < stepMillis) {
                    sendLagging(nowMillis, engine, entries.get(entry));
                }
            }
        }
    }

    private void sendLagging(long nowMillis, int engine, Scheduler entry) {
        Snapshot[] kept = history[engine];
        Snapshot oldest = kept[steps % kept.length];
        Snapshot snapshot = oldest == null ? kept[0] : oldest;
        if (!snapshot.down() && !engines.get(engine).down()) {
            send(
                    nowMillis,
                    engine,
                    snapshot.running(),
                    snapshot.waiting(),
                    play.reports().lagMillis(),
                    entry);
        }
    }

    /** The report that rides on an answer. */
    void sendFresh(long nowMillis, int engine, Scheduler entry) {
        EngineFake fake = engines.get(engine);
        send(nowMillis, engine, fake.running(), fake.waiting(), 0, entry);
    }

    private void send(long nowMillis, int engine, int running, int waiting, long lagMillis, Scheduler entry) {
        entry.endpointReported(
                nowMillis,
                new EndpointState(
                        name(engine),
                        SERVICE,
                        dataCentre(engine),
                        play.engine().slots(),
                        running,
                        waiting,
                        0,
                        nowMillis - lagMillis,
                        false,
                        true));
    }

    /** Starts and ends faults; says which requests were lost just now. */
    List<EngineRequest> applyFaults(long nowMillis, List<Scheduler> entries) {
        List<EngineRequest> lost = new ArrayList<>();
        for (Fault fault : play.faults()) {
            EngineFake engine = engines.get(fault.engine());
            if (fault instanceof Fault.Slow slow) {
                boolean now = nowMillis >= slow.fromMillis() && nowMillis < slow.untilMillis();
                engine.setSpeedPart(now ? slow.part() : 1);
                continue;
            }
            if (nowMillis == fault.fromMillis()) {
                lost.addAll(engine.lose());
            }
            if (nowMillis == fault.fromMillis() + LIST_LAG_MILLIS) {
                entries.forEach(entry -> entry.endpointRemoved(name(fault.engine())));
            }
            if (nowMillis == fault.untilMillis()) {
                engine.comeBack();
                engine.setSpeedPart(WARM_UP_SPEED_PART);
            }
            if (nowMillis == fault.untilMillis() + WARM_UP_MILLIS) {
                engine.setSpeedPart(1);
            }
        }
        return lost;
    }
}
