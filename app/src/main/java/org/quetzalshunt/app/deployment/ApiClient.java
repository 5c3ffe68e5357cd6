package org.quetzalshunt.app.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.wire.json.Json;

/** Blocking HTTP client of the demo and the tests. A call that gets no complete response yields status 0. */
public final class ApiClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(40);
    private static final long AWAIT_TIMEOUT_MILLIS = 20_000;
    private static final long POLL_INTERVAL_MILLIS = 50;

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();

    private ApiClient() {}

    public static ApiClient create() {
        return new ApiClient();
    }

    /**
     * An HTTP response.
     *
     * @param status HTTP status, or 0 if no complete response was received
     * @param headers response headers
     * @param body complete response body
     */
    public record Response(int status, java.net.http.HttpHeaders headers, byte[] body) {
        /** Body as text. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /** Body as JSON, or an empty object if the body is not valid JSON. */
        public JsonNode json() {
            return Json.parse(body).orElseGet(Json::object);
        }

        /** First value of a header. */
        public Optional<String> header(String name) {
            return headers.firstValue(name);
        }

        /** Result code number of an error body, or -1 if the body has none. */
        public int code() {
            return json().path("error").path("code").asInt(-1);
        }

        /** Execution status of an error body, such as {@code not run}; empty if the body has none. */
        public String execution() {
            return json().path("error").path("execution").asText("");
        }
    }

    /** Sends a request and waits for the complete response. */
    public Response send(String method, String url, Map<String, String> headers, byte[] body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url))
                .timeout(CALL_TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.ofByteArray(body));
        headers.forEach(request::header);
        try {
            HttpResponse<byte[]> response = http.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            return new Response(response.statusCode(), response.headers(), response.body());
        } catch (IOException failure) {
            return new Response(0, java.net.http.HttpHeaders.of(Map.of(), (name, value) -> true), new byte[0]);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return new Response(0, java.net.http.HttpHeaders.of(Map.of(), (name, value) -> true), new byte[0]);
        }
    }

    /** Polls a URL until it responds with a status; throws {@link IllegalStateException} after 20 s. */
    public void awaitStatus(String url, int status) {
        awaitResponse(url, Map.of(), response -> response.status() == status);
    }

    /** Polls a URL until its response contains a text; throws {@link IllegalStateException} after 20 s. */
    public void awaitText(String url, Map<String, String> headers, String text) {
        awaitResponse(url, headers, response -> response.text().contains(text));
    }

    private void awaitResponse(
            String url, Map<String, String> headers, java.util.function.Predicate<Response> condition) {
        long deadline = System.currentTimeMillis() + AWAIT_TIMEOUT_MILLIS;
        while (System.currentTimeMillis() < deadline) {
            if (condition.test(send("GET", url, headers, new byte[0]))) {
                return;
            }
            pause(POLL_INTERVAL_MILLIS);
        }
        throw new IllegalStateException("timed out waiting for the expected answer from " + url);
    }

    /** Sleeps, or returns early with the interrupt flag set if the thread is interrupted. */
    public static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
