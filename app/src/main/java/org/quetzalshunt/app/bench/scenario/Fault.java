package org.quetzalshunt.app.bench.scenario;

/** Fault of one engine during a scenario, in virtual time since the start. */
public sealed interface Fault {
    /** Index of the engine. */
    int engine();

    /** Start of the fault. */
    long fromMillis();

    /** End of the fault, exclusive. */
    long untilMillis();

    /** The engine runs at a fraction of its normal speed. */
    record Slowdown(int engine, long fromMillis, long untilMillis, double speedFraction) implements Fault {}

    /** The engine crashes, losing all its requests, and restarts with an empty cache at the end of the fault. */
    record Crash(int engine, long fromMillis, long untilMillis) implements Fault {}
}
