package org.quetzalshunt.app.demo;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.quetzalshunt.app.deployment.ApiClient;
import org.quetzalshunt.core.result.ResultCode;

/** Caller that retries failed calls at the next entry under the same idempotency key. */
final class DemoCaller {
    private static final int MAXIMUM_ATTEMPTS = 60;
    private static final long RETRY_DELAY_MILLIS = 250;

    /** Codes of errors that a retry cannot resolve. */
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
    private int nextEntry;

    DemoCaller(Supplier<List<String>> entryUrls, String key, DemoTally tally, int firstEntry) {
        this.entryUrls = entryUrls;
        this.key = key;
        this.tally = tally;
        this.nextEntry = firstEntry;
    }

    /** Sends a call until it succeeds, fails with a final code or runs out of attempts; returns the last response. */
    ApiClient.Response send(
            String method, String path, String idempotencyKey, Map<String, String> extraHeaders, byte[] body) {
        Map<String, String> headers = new HashMap<>(extraHeaders);
        headers.put("authorization", "Bearer " + key);
        headers.put("content-type", "application/json");
        headers.put("idempotency-key", idempotencyKey);
        ApiClient.Response response = sendOnce(method, path, headers, body);
        for (int attempt = 1; attempt < MAXIMUM_ATTEMPTS && isRetryable(response); attempt++) {
            tally.recordResend();
            ApiClient.pause(RETRY_DELAY_MILLIS);
            response = sendOnce(method, path, headers, body);
        }
        return response;
    }

    private ApiClient.Response sendOnce(String method, String path, Map<String, String> headers, byte[] body) {
        List<String> urls = entryUrls.get();
        String url = urls.get(Math.floorMod(nextEntry++, urls.size()));
        ApiClient.Response response = client.send(method, url + path, headers, body);
        if (response.code() >= 0) {
            tally.recordRefusal(response.code());
        }
        return response;
    }

    private static boolean isRetryable(ApiClient.Response response) {
        boolean isFailed = response.status() == 0 || response.code() >= 0;
        return isFailed && !FINAL_CODES.contains(response.code());
    }
}
