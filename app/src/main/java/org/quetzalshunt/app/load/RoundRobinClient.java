package org.quetzalshunt.app.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.server.http.HttpClient;
import org.quetzalshunt.server.http.HttpResponseListener;
import org.quetzalshunt.wire.json.Json;

/** Sends calls to the entries round-robin, as a load balancer would, and schedules delayed actions. */
final class RoundRobinClient {
    private static final long CALL_TIMEOUT_MILLIS = 60_000;

    private final EventLoop loop;
    private final HttpClient client;
    private final List<InetSocketAddress> entries;
    private int sentCalls;

    private RoundRobinClient(EventLoop loop, List<InetSocketAddress> entries) {
        this.loop = loop;
        this.client = HttpClient.create(loop);
        this.entries = entries;
    }

    static RoundRobinClient create(EventLoop loop, List<InetSocketAddress> entries) {
        return new RoundRobinClient(loop, entries);
    }

    void send(
            String method,
            String path,
            String key,
            Map<String, String> extraHeaders,
            JsonNode body,
            HttpResponseListener listener) {
        Map<String, String> headers = new HashMap<>(extraHeaders);
        headers.put("authorization", "Bearer " + key);
        headers.put("content-type", "application/json");
        InetSocketAddress entry = entries.get(sentCalls++ % entries.size());
        client.send(entry, method, path, headers, Json.bytes(body), CALL_TIMEOUT_MILLIS, listener);
    }

    void schedule(long millis, Runnable action) {
        loop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    void close() {
        client.close();
    }
}
