package org.quetzalshunt.app.demo;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.quetzalshunt.app.deployment.ApiClient;
import org.quetzalshunt.core.result.ResultCode;

/** A caller that does what a careful one does: sends again under the same idempotency key, over another entry. */
final class DemoCaller {
    private static final int MAXIMUM_TRIES = 60;
    private static final long PAUSE_MILLIS = 250;

    /** Refusals of which sending again is no use. */
    private static final Set<Integer> FINAL_CODES = Set.of(
            ResultCode.BUDGET_EXHAUSTED.number(),
            ResultCode.UNKNOWN_KEY.number(),
            ResultCode.OUTCOME_UNKNOWN.number(),
            ResultCode.UNKNOWN_PROGRAM.number(),
            ResultCode.PROGRAM_ENDED.number(),
            ResultCode.TURN_OUT_OF_ORDER.number());

    private final ApiClient client = ApiClient.create();
    private final Supplier<List<String>> entryUrls;
    private final String key;
    private final DemoTally tally;
    private int next;

    DemoCaller(Supplier<List<String>> entryUrls, String key, DemoTally tally, int firstEntry) {
        this.entryUrls = entryUrls;
        this.key = key;
        this.tally = tally;
        this.next = firstEntry;
    }

    /** Sends until there is an answer, or a refusal that is final. The last answer is given back. */
    ApiClient.Response send(String method, String path, String idempotencyKey, Map<String, String> extra, byte[] body) {
        Map<String, String> headers = new HashMap<>(extra);
        headers.put("authorization", "Bearer " + key);
        headers.put("content-type", "application/json");
        headers.put("idempotency-key", idempotencyKey);
        ApiClient.Response answer = once(method, path, headers, body);
        for (int tries = 1; tries < MAXIMUM_TRIES && isWorthAnother(answer); tries++) {
            tally.resent();
            ApiClient.pause(PAUSE_MILLIS);
            answer = once(method, path, headers, body);
        }
        return answer;
    }

    private ApiClient.Response once(String method, String path, Map<String, String> headers, byte[] body) {
        List<String> urls = entryUrls.get();
        String url = urls.get(Math.floorMod(next++, urls.size()));
        ApiClient.Response answer = client.send(method, url + path, headers, body);
        if (answer.code() >= 0) {
            tally.refused(answer.code());
        }
        return answer;
    }

    private static boolean isWorthAnother(ApiClient.Response answer) {
        boolean refused = answer.status() == 0 || answer.code() >= 0;
        return refused && !FINAL_CODES.contains(answer.code());
    }
}
