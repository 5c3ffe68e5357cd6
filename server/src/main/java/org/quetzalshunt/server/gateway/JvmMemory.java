package org.quetzalshunt.server.gateway;

import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import org.quetzalshunt.core.memory.BudgetSize;

/** Measures what the JVM takes of the VM's memory. */
final class JvmMemory {
    private static final Path STATUS = Path.of("/proc/self/status");

    /** Line with the resident pages of mapped files, which are the libraries and the class archive. */
    private static final String FILES_LINE = "RssFile:";

    private static final long KIBIBYTE = 1_024;

    private JvmMemory() {}

    /** The budget for buffered data on a VM with the given memory. */
    static BudgetSize budgetSize(OptionalLong vmBytes) {
        long classesAndCode =
                ManagementFactory.getMemoryMXBean().getNonHeapMemoryUsage().getCommitted();
        return new BudgetSize(
                vmBytes,
                Runtime.getRuntime().maxMemory(),
                PlatformDependent.maxDirectMemory(),
                classesAndCode + mappedFileBytes());
    }

    private static long mappedFileBytes() {
        try {
            return mappedFileBytes(Files.readAllLines(STATUS));
        } catch (IOException unavailable) {
            return 0;
        }
    }

    static long mappedFileBytes(List<String> status) {
        return status.stream()
                .filter(line -> line.startsWith(FILES_LINE))
                .mapToLong(line -> KIBIBYTE * Long.parseLong(line.replaceAll("\\D", "")))
                .sum();
    }
}
