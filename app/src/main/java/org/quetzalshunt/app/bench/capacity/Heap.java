package org.quetzalshunt.app.bench.capacity;

/** Reads how much heap is in use, after asking for a collection twice. */
final class Heap {
    private Heap() {}

    static long used() {
        System.gc();
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
