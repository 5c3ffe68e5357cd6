package org.quetzalshunt.app.explain;

import java.util.Locale;
import java.util.Map;
import org.quetzalshunt.core.result.ResultCode;

/** Derives from a request's log line why the request ended as it did. */
final class FailureCause {
    private static final Map<ResultCode, String> CAUSES_BY_CODE = Map.ofEntries(
            Map.entry(
                    ResultCode.RATE_EXCEEDED,
                    "its client account had no token of its quota left in the time it may wait"),
            Map.entry(ResultCode.BUDGET_EXHAUSTED, "the token budget of its program did not cover one more turn"),
            Map.entry(ResultCode.UNKNOWN_PROGRAM, "the store holds no turn of its account with the id it goes on from"),
            Map.entry(ResultCode.UNKNOWN_KEY, "its key is in no configuration in force"),
            Map.entry(ResultCode.UNKNOWN_PATH, "no route of the configuration in force matches its host and path"),
            Map.entry(ResultCode.NO_ENDPOINT, "no endpoint that may run it was known or free"),
            Map.entry(ResultCode.EVACUATED, "operators evacuate every data centre that could run it"),
            Map.entry(ResultCode.DEADLINE_UNREACHABLE, "too little of its time was left to send it"),
            Map.entry(ResultCode.DEADLINE_PASSED_RUNNING, "its time ran out while an endpoint worked on it"),
            Map.entry(ResultCode.ENDPOINT_FAILED, "the endpoint answered with a failure"),
            Map.entry(ResultCode.ANSWER_CUT, "the connection to the endpoint broke before the answer was whole"),
            Map.entry(ResultCode.CRASHES_ENDPOINTS, "equal requests have crashed endpoints three times"),
            Map.entry(ResultCode.CANCELLED, "its caller left"),
            Map.entry(ResultCode.LOG_UNAVAILABLE, "the store did not answer its gateway"),
            Map.entry(ResultCode.CONFIGURATION_STALE, "its gateway could not prove that keys are still valid"),
            Map.entry(ResultCode.NOT_READY, "its gateway had no configuration yet, or no owner of the quota answered"));

    /** Minimum share of the time to the first event for a step to be named as the cause of a late answer. */
    private static final double DOMINANT_STEP_SHARE = 0.4;

    private FailureCause() {}

    /** Label under which requests are counted: the name of the code, or the slowest step of a late request. */
    static String reason(LogLine line) {
        ResultCode code = line.code();
        if (code != ResultCode.OK) {
            return code.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
        return isLate(line) ? "late: " + slowestStep(line) : "served in time";
    }

    /** Whether the answer to a served request began later than its route's latency target. */
    static boolean isLate(LogLine line) {
        long first = line.number("firstEventAfterMillis")
                .orElse(line.number("tookMillis").orElse(0));
        return first > line.number("targetMillis").orElse(Long.MAX_VALUE);
    }

    /** One sentence for the report on a request. */
    static String sentence(LogLine line) {
        ResultCode code = line.code();
        String detail = line.text("detail").isEmpty() ? "" : " (" + line.text("detail") + ")";
        if (code != ResultCode.OK) {
            return "Not served: " + CAUSES_BY_CODE.getOrDefault(code, code.meaning()) + detail + ".";
        }
        return isLate(line) ? "Served late, most of the time for " + slowestStep(line) + "." : "Served in time.";
    }

    /** The longest step before the first event, or "several steps" if none dominates. */
    static String slowestStep(LogLine line) {
        long token = line.number("tokenAfterMillis").orElse(0);
        long sent = line.number("sentAfterMillis").orElse(token);
        long took = line.number("tookMillis").orElse(0);
        long first = line.number("firstEventAfterMillis").orElse(took);
        long history = Math.max(
                line.number("historyAfterMillis").orElse(token),
                line.number("grantAfterMillis").orElse(token));
        Map<String, Long> steps = Map.of(
                "the wait for a token of the quota", token,
                "history and the grant of tokens", Math.max(0, Math.min(sent, history) - token),
                "the endpoint until its first event", Math.max(0, first - sent));
        Map.Entry<String, Long> slowest =
                steps.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow();
        return slowest.getValue() >= DOMINANT_STEP_SHARE * Math.max(1, first) ? slowest.getKey() : "several steps";
    }
}
