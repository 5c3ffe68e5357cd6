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

/** Short questions to the engine that carry no attempt: its load and its cache. */
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

    /** The present load; nothing when the engine does not answer in time. */
    void load(Consumer<Optional<EndpointLoad>> receiver) {
        send(
                "GET",
                "/engine/load",
                answer -> receiver.accept(answer.flatMap(WholeAnswer::json).map(EndpointLoad::read)));
    }

    /** Programs whose cache entry is held; nothing when the engine does not answer in time. */
    void heldPrograms(Consumer<Optional<List<String>>> receiver) {
        send(
                "GET",
                "/engine/cache",
                answer -> receiver.accept(answer.flatMap(WholeAnswer::json).map(EngineClient::held)));
    }

    /** Frees a program's entry; the receiver hears whether the engine did. */
    void freeCache(String program, Consumer<Boolean> receiver) {
        String path = "/engine/cache/" + PathSegments.encode(program);
        send(
                "DELETE",
                path,
                answer -> receiver.accept(answer.filter(WholeAnswer::isSuccess).isPresent()));
    }

    void close() {
        client.close();
    }

    private void send(String method, String path, Consumer<Optional<WholeAnswer>> receiver) {
        client.send(endpoint, method, path, Map.of(), NO_BODY, timeoutMillis, WholeAnswer.gather(receiver));
    }

    private static List<String> held(JsonNode listing) {
        List<String> programs = new ArrayList<>();
        for (JsonNode entry : listing.path("entries")) {
            if (entry.path("held").asBoolean()) {
                programs.add(entry.path("key").asText());
            }
        }
        return programs;
    }
}
