package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.concurrent.EventExecutor;
import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Processor time of this process by kind of work, as the kernel counts it for each thread. It tells the price of a
 * start (class loading and compilation) from work for callers and from loops that wake up without work.
 */
final class ProcessorTime {
    /** What the threads of a gateway do. */
    enum Kind {
        /** Work for callers, peers and the store. */
        EVENT_LOOP,
        COMPILER,
        COLLECTOR,
        /** The main thread, which only starts and stops the process. */
        START,
        OTHER;

        String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    private static final Path THREADS = Path.of("/proc/self/task");

    /** The unit of the kernel's counters: USER_HZ is 100 on all supported platforms. */
    private static final long MILLIS_PER_TICK = 10;

    /** Positions of user and system time among the fields after the thread's name; proc(5). */
    private static final int USER_TIME_FIELD = 11;

    private static final int SYSTEM_TIME_FIELD = 12;

    private static final long LOG_INTERVAL_MILLIS = 10_000;

    private ProcessorTime() {}

    /** Starts to write a line at a fixed interval, from which the cost of each phase of a day can be told. */
    static void startLog(EventExecutor executor, DecisionLog log) {
        executor.scheduleWithFixedDelay(
                () -> writeLine(log), LOG_INTERVAL_MILLIS, LOG_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void writeLine(DecisionLog log) {
        Map<Kind, Long> millisByKind = millis();
        if (millisByKind.isEmpty()) {
            return;
        }
        ObjectNode line = log.event("processor-time");
        millisByKind.forEach((kind, millis) -> line.put(kind.label(), millis));
        log.write(line);
    }

    /** Milliseconds by kind since the start, without threads that have ended; empty where the kernel offers none. */
    static Map<Kind, Long> millis() {
        Map<Kind, Long> sums = new EnumMap<>(Kind.class);
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(THREADS)) {
            for (Path thread : threads) {
                read(thread).ifPresent(usage -> sums.merge(usage.kind(), usage.millis(), Long::sum));
            }
        } catch (IOException | DirectoryIteratorException unavailable) {
            // Without /proc there are no figures, which the metrics show as missing.
            return Map.of();
        }
        return sums;
    }

    private static Optional<Usage> read(Path thread) {
        try {
            return parse(Files.readString(thread.resolve("stat")));
        } catch (IOException ended) {
            // The thread has ended since the folder was listed.
            return Optional.empty();
        }
    }

    /** Processor time of one thread. */
    record Usage(Kind kind, long millis) {}

    static Optional<Usage> parse(String stat) {
        int nameStart = stat.indexOf('(');
        int nameEnd = stat.lastIndexOf(')');
        if (nameStart < 0 || nameEnd < nameStart) {
            return Optional.empty();
        }
        String[] fields = stat.substring(nameEnd + 1).trim().split(" ");
        if (fields.length <= SYSTEM_TIME_FIELD) {
            return Optional.empty();
        }
        long ticks = Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
        return Optional.of(new Usage(kindOf(stat.substring(nameStart + 1, nameEnd)), ticks * MILLIS_PER_TICK));
    }

    private static Kind kindOf(String name) {
        if (name.startsWith("multiThreadIo")) {
            return Kind.EVENT_LOOP;
        }
        if (name.contains("Compiler")) {
            return Kind.COMPILER;
        }
        if (name.equals("VM Thread") || name.startsWith("GC ") || name.startsWith("G1 ")) {
            return Kind.COLLECTOR;
        }
        return name.equals("java") || name.equals("main") ? Kind.START : Kind.OTHER;
    }
}
