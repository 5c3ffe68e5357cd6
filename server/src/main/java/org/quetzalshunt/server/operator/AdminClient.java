package org.quetzalshunt.server.operator;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;

/** Client of the administration API. */
final class AdminClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final String baseUrl;
    private final String key;
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

    private AdminClient(String baseUrl, String key) {
        this.baseUrl = baseUrl.endsWith("/") ? baseUrl.substring(0, baseUrl.length() - 1) : baseUrl;
        this.key = key;
    }

    static AdminClient of(String baseUrl, String key) {
        return new AdminClient(baseUrl, key);
    }

    /** Response to a request; status 0 and a message in the body if none was received. */
    record Response(int status, String body, Optional<String> version) {
        boolean isSuccess() {
            return status >= 200 && status < 300;
        }
    }

    Response send(String method, String path, Optional<String> ifMatch, String body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(baseUrl + "/admin/v1/" + path))
                .timeout(TIMEOUT)
                .header("authorization", "Bearer " + key)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        ifMatch.ifPresent(version -> request.header("if-match", version));
        try {
            HttpResponse<String> response = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Response(
                    response.statusCode(), response.body(), response.headers().firstValue("etag"));
        } catch (IOException unreachable) {
            return new Response(0, "cannot reach " + baseUrl + ": " + unreachable.getMessage(), Optional.empty());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return new Response(0, "interrupted", Optional.empty());
        }
    }
}
