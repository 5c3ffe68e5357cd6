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

/** A blocking HTTP client for drivers: one call, one answer. A call without an answer has status 0. */
public final class ApiClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(40);
    private static final long AWAIT_MILLIS = 20_000;
    private static final long POLL_MILLIS = 50;

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();

    private ApiClient() {}

    /** Makes a client. */
    public static ApiClient create() {
        return new ApiClient();
    }

    /**
     * An answer.
     *
     * @param status HTTP status; 0 when none came whole
     * @param headers headers
     * @param body whole body
     */
    public record Answer(int status, java.net.http.HttpHeaders headers, byte[] body) {
        /** Body as text. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /** Body as JSON; an empty object when it is none. */
        public JsonNode json() {
            return Json.parse(body).orElseGet(Json::object);
        }

        /** Value of a header. */
        public Optional<String> header(String name) {
            return headers.firstValue(name);
        }

        /** Numbered result code of an error body; -1 without one. */
        public int code() {
            return json().path("error").path("code").asInt(-1);
        }

        /** What an error body says of the run; empty without one. */
        public String execution() {
            return json().path("error").path("execution").asText("");
        }
    }

    /** Sends a request and waits for its whole answer. */
    public Answer send(String method, String url, Map<String, String> headers, byte[] body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url))
                .timeout(CALL_TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.ofByteArray(body));
        headers.forEach(request::header);
        try {
            HttpResponse<byte[]> response = http.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            return new Answer(response.statusCode(), response.headers(), response.body());
        } catch (IOException broken) {
            return new Answer(0, java.net.http.HttpHeaders.of(Map.of(), (name, value) -> true), new byte[0]);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return new Answer(0, java.net.http.HttpHeaders.of(Map.of(), (name, value) -> true), new byte[0]);
        }
    }

    /** Waits until a URL answers with a status; fails after a bounded time. */
    public void await(String url, int status) {
        await(url, Map.of(), answer -> answer.status() == status);
    }

    /** Waits until a URL's answer contains a text; fails after a bounded time. */
    public void awaitText(String url, Map<String, String> headers, String text) {
        await(url, headers, answer -> answer.text().contains(text));
    }

    private void await(String url, Map<String, String> headers, java.util.function.Predicate<Answer> wanted) {
        long deadline = System.currentTimeMillis() + AWAIT_MILLIS;
        while (System.currentTimeMillis() < deadline) {
            if (wanted.test(send("GET", url, headers, new byte[0]))) {
                return;
            }
            pause(POLL_MILLIS);
        }
        throw new IllegalStateException("no answer as awaited from " + url);
    }

    /** Sleeps. */
    public static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
