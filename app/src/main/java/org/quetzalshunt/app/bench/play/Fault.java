package org.quetzalshunt.app.bench.play;

/** Something that goes wrong with one engine during a play. */
public sealed interface Fault {
    /** Number of the engine. */
    int engine();

    /** When it starts. */
    long fromMillis();

    /** When it is over. */
    long untilMillis();

    /** The engine computes at a part of its speed. */
    record Slow(int engine, long fromMillis, long untilMillis, double part) implements Fault {}

    /** The engine is gone with all that runs in it, and comes back with an empty cache. */
    record Lost(int engine, long fromMillis, long untilMillis) implements Fault {}
}
