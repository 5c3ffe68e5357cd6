package org.quetzalshunt.app.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.server.http.CallTimeouts;
import org.quetzalshunt.server.http.HttpClient;
import org.quetzalshunt.server.http.HttpResponseListener;
import org.quetzalshunt.server.http.OutboundRequest;
import org.quetzalshunt.server.http.ResponseMatcher;
import org.quetzalshunt.wire.json.Json;

/** Sends calls to the entries round-robin, as a load balancer would, and schedules delayed actions. */
final class RoundRobinClient {
    private static final CallTimeouts TIMEOUTS = new CallTimeouts(2_000, 60_000, Long.MAX_VALUE);

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
        InetSocketAddress entry = entries.get(sentCalls++ % entries.size());
        HttpHeaders headers = new DefaultHttpHeaders();
        extraHeaders.forEach(headers::set);
        headers.set("host", entry.getHostString() + ":" + entry.getPort());
        headers.set("authorization", "Bearer " + key);
        headers.set("content-type", "application/json");
        OutboundRequest request = new OutboundRequest(entry, method, path, headers, Json.bytes(body), Optional.empty());
        client.send(request, TIMEOUTS, ResponseMatcher.ANY, listener);
    }

    void schedule(long millis, Runnable action) {
        loop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    void close() {
        client.close();
    }
}
