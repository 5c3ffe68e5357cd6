package org.quetzalshunt.standin.fleet;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.server.http.BufferedResponseListener;
import org.quetzalshunt.server.http.HttpClient;

/**
 * Small deployment around one gateway on the loopback address: a store with a configuration, a server, the settings
 * file of the gateway, and a client. Used for a run that records the class-data archive of the gateway, in which only
 * the executed code paths matter.
 */
public final class LoopbackDeployment implements AutoCloseable {
    private static final String CONFIGURATION =
            """
            {"version":1,"routes":[
             {"name":"t","host":"%s","path_prefix":"/turn/","route_type":"streaming","timeout_ms":2000,"service":"s",
              "stateful":true,"retention_s":1},
             {"name":"p","host":"%s","path_prefix":"/plain/","route_type":"idempotent","timeout_ms":2000,"service":"s"}],
             "services":[{"name":"s","max_connections":9,"engine":{"slots":1,"kv_capacity":9,"chunk_tokens":1}}],
             "limits":{},"tenants":[{"name":"a","api_keys":["k"],"rate_per_s":99,"burst":99}]}
            """;

    private static final String SETTINGS =
            """
            node_name: "rehearsal"
            zone: "a"
            listen: {frontend: "127.0.0.1:%d", ready_address: "127.0.0.1:%d"}
            internal_ports: [%d]
            bounds: {grace_s: 1}
            platform: {address: "127.0.0.1:%d", parts: 1}
            """;

    private static final int REQUESTS = 20;
    private static final long REQUEST_TIMEOUT_MILLIS = 2_000;
    private static final long PAUSE_BETWEEN_REQUESTS_MILLIS = 100;

    private final StoreStandin store = StoreStandin.start();
    private final ServerStandin server = ServerStandin.start("rehearsal");
    private final int port;
    private final Path settings;

    private LoopbackDeployment() throws IOException {
        port = freePort();
        store.put("keyed.op", "config", utf8(CONFIGURATION.replace("%s", "localhost:" + port)));
        store.put("keyed.servers", server.id(), server.entry("s", "ready"));
        settings = Files.writeString(
                Files.createTempFile("rehearsal", ".yaml"),
                SETTINGS.formatted(port, freePort(), freePort(), store.port()));
    }

    /** Starts the store and the server. */
    public static LoopbackDeployment start() throws IOException {
        return new LoopbackDeployment();
    }

    /** Path of the settings file for the gateway. */
    public Path settings() {
        return settings;
    }

    @Override
    public void close() {
        server.close();
        store.close();
    }

    /** Sends turns and plain requests to the gateway alternately, and waits for each response. */
    public void sendRequests() throws InterruptedException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        HttpClient client = HttpClient.create(group);
        for (int index = 0; index < REQUESTS; index++) {
            int number = index;
            CompletableFuture<Integer> answer = new CompletableFuture<>();
            Map<String, String> headers = Map.of(
                    "x-request-id", "r" + number,
                    "x-program-id", "p",
                    "x-token-budget", "9000",
                    "x-token-usage", "10,10",
                    "authorization", "Bearer k");
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            String path = number % 2 == 0 ? "/turn/" : "/plain/";
            group.next()
                    .execute(() -> client.send(
                            address,
                            "POST",
                            path,
                            headers,
                            utf8("x"),
                            REQUEST_TIMEOUT_MILLIS,
                            BufferedResponseListener.to(new Receiver(answer), 9_999)));
            answer.join();
            Thread.sleep(PAUSE_BETWEEN_REQUESTS_MILLIS);
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private record Receiver(CompletableFuture<Integer> answer) implements BufferedResponseListener.Receiver {
        @Override
        public void onAnswer(int status, byte[] body) {
            answer.complete(status);
        }

        @Override
        public void onFailure(String reason, boolean requestMayHaveArrived) {
            answer.complete(0);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
