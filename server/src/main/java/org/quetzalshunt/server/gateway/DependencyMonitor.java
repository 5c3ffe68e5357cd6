package org.quetzalshunt.server.gateway;

/** Logs one line when a dependency of the gateway becomes unavailable, and one when it answers again. */
final class DependencyMonitor {
    private final DecisionLog log;
    private final String name;
    private boolean unavailable;

    DependencyMonitor(DecisionLog log, String name) {
        this.log = log;
        this.name = name;
    }

    void answered() {
        if (unavailable) {
            unavailable = false;
            log.write(log.event("dependency-regained").put("dependency", name));
        }
    }

    void failed(String reason) {
        if (!unavailable) {
            unavailable = true;
            log.write(log.event("dependency-lost").put("dependency", name).put("reason", reason));
        }
    }
}
