package org.quetzalshunt.app.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * Parameters of one run.
 *
 * @param entries addresses to which calls are sent round-robin
 * @param service name of the called service, sent as {@code model}
 * @param keys key of each client account
 * @param seconds duration of arrivals
 * @param programsPerSecond arrival rate of programs over all accounts
 * @param maximumPrograms maximum number of programs
 * @param heavyAccount account with a higher arrival rate than the others; empty if there is none
 * @param heavyFactor ratio of the heavy account's arrival rate to that of another account
 * @param drainSeconds time for programs to finish after arrivals end
 * @param checkAnswers whether answers are compared with those of the stand-in engine
 */
record LoadPlan(
        List<InetSocketAddress> entries,
        String service,
        Map<String, String> keys,
        LoadShape shape,
        int seconds,
        double programsPerSecond,
        int maximumPrograms,
        String heavyAccount,
        double heavyFactor,
        int drainSeconds,
        long seed,
        boolean checkAnswers) {

    List<String> accounts() {
        return keys.keySet().stream().sorted().toList();
    }
}
