package org.quetzalshunt.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.quetzalshunt.wire.json.Json;

/** HTTP client for a port of the loopback address. */
public final class LocalHttp {
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final int port;

    private LocalHttp(int port) {
        this.port = port;
    }

    public static LocalHttp to(int port) {
        return new LocalHttp(port);
    }

    public HttpResponse<String> send(String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        return client.send(request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    public CompletableFuture<HttpResponse<String>> sendAsync(
            String method, String path, String body, String... headers) {
        return client.sendAsync(request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    public com.fasterxml.jackson.databind.JsonNode json(String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        return Json.parse(send(method, path, body, headers).body().getBytes(java.nio.charset.StandardCharsets.UTF_8))
                .orElseThrow();
    }

    private HttpRequest request(String method, String path, String body, String... headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return builder.build();
    }
}
