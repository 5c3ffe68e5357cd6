package org.quetzalshunt.app.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * One run of the tool.
 *
 * @param entries where calls go, each program's calls in turn
 * @param service value of {@code model}
 * @param keys key of each client account
 * @param seconds time in which programs arrive
 * @param programsPerSecond rate over all accounts
 * @param maximumPrograms bound on all programs
 * @param heavyAccount the account that sends more than the others; empty: none
 * @param heavyFactor how much more
 * @param drainSeconds time after the last arrival in which programs may finish
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
