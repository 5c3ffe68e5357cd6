package org.quetzalshunt.app.bench.capacity;

/** Measures the used heap after requesting two garbage collections. */
final class HeapUsage {
    private HeapUsage() {}

    static long usedBytes() {
        System.gc();
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
