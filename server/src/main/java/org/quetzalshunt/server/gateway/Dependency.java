package org.quetzalshunt.server.gateway;

/** Something that a gateway needs: writes one log line when it is lost, and one when it is back. */
final class Dependency {
    private final DecisionLog log;
    private final String name;
    private boolean lost;

    Dependency(DecisionLog log, String name) {
        this.log = log;
        this.name = name;
    }

    void answered() {
        if (lost) {
            lost = false;
            log.line(log.event("dependency-regained").put("dependency", name));
        }
    }

    void failed(String reason) {
        if (!lost) {
            lost = true;
            log.line(log.event("dependency-lost").put("dependency", name).put("reason", reason));
        }
    }
}
