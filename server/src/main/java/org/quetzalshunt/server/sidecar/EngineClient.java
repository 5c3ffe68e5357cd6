package org.quetzalshunt.server.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalshunt.server.http.HttpClient;

/** Calls the engine's status API: polls its load, and lists and frees its cache entries. */
final class EngineClient {
    private static final byte[] NO_BODY = {};

    private final InetSocketAddress endpoint;
    private final long timeoutMillis;
    private final HttpClient client;

    private EngineClient(EventLoopGroup group, SidecarSettings settings) {
        this.endpoint = settings.endpoint();
        this.timeoutMillis = settings.times().pollTimeoutMillis();
        this.client = HttpClient.create(group);
    }

    static EngineClient create(EventLoopGroup group, SidecarSettings settings) {
        return new EngineClient(group, settings);
    }

    /** Fetches the current load; empty when the engine gives no valid answer in time. */
    void fetchLoad(Consumer<Optional<EndpointLoad>> receiver) {
        send(
                "GET",
                "/engine/load",
                answer -> receiver.accept(answer.flatMap(BufferedResponse::json).map(EndpointLoad::parse)));
    }

    /** Fetches the programs whose cache entries are held; empty when the engine gives no valid answer in time. */
    void listHeldPrograms(Consumer<Optional<List<String>>> receiver) {
        send(
                "GET",
                "/engine/cache",
                answer -> receiver.accept(answer.flatMap(BufferedResponse::json).map(EngineClient::parseHeldPrograms)));
    }

    /** Frees a program's cache entry; the receiver gets whether the engine confirmed it. */
    void freeCache(String program, Consumer<Boolean> receiver) {
        String path = "/engine/cache/" + PathSegments.encode(program);
        send(
                "DELETE",
                path,
                answer -> receiver.accept(
                        answer.filter(BufferedResponse::isSuccess).isPresent()));
    }

    private void send(String method, String path, Consumer<Optional<BufferedResponse>> receiver) {
        client.send(endpoint, method, path, Map.of(), NO_BODY, timeoutMillis, BufferedResponse.collect(receiver));
    }

    private static List<String> parseHeldPrograms(JsonNode listing) {
        List<String> programs = new ArrayList<>();
        for (JsonNode entry : listing.path("entries")) {
            if (entry.path("held").asBoolean()) {
                programs.add(entry.path("key").asText());
            }
        }
        return programs;
    }
}
