package org.quetzalshunt.server.entry;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.server.http.HttpClient;
import org.quetzalshunt.server.http.HttpResponseListener;
import org.quetzalshunt.wire.json.Json;

/** Reads the platform's VM list again and again. While it can't be read, the last one stays. */
final class VmListPoller {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 3_000;

    private final HttpClient client;
    private final InetSocketAddress platform;
    private final EntryClock clock;
    private final Consumer<List<Vm>> listener;
    private long startedMillis;
    private boolean underWay;
    private boolean readOnce;

    VmListPoller(HttpClient client, InetSocketAddress platform, EntryClock clock, Consumer<List<Vm>> listener) {
        this.client = client;
        this.platform = platform;
        this.clock = clock;
        this.listener = listener;
    }

    boolean readOnce() {
        return readOnce;
    }

    void tick() {
        if (underWay || clock.now() - startedMillis < INTERVAL_MILLIS) {
            return;
        }
        underWay = true;
        startedMillis = clock.now();
        client.send(platform, "GET", "/vms", Map.of(), new byte[0], TIMEOUT_MILLIS, new HttpResponseListener() {
            private final ByteArrayOutputStream body = new ByteArrayOutputStream();
            private int answered;

            @Override
            public void onHead(int status, HttpHeaders headers) {
                answered = status;
            }

            @Override
            public void onChunk(byte[] data) {
                body.writeBytes(data);
            }

            @Override
            public void onEnd() {
                underWay = false;
                if (answered == 200) {
                    Json.parse(body.toByteArray()).ifPresent(VmListPoller.this::read);
                }
            }

            @Override
            public void onFailure(String reason, boolean requestMayHaveArrived) {
                underWay = false;
            }
        });
    }

    private void read(JsonNode root) {
        List<Vm> vms = new ArrayList<>();
        for (JsonNode node : root.path("vms")) {
            vms.add(new Vm(
                    node.path("name").asText(),
                    node.path("role").asText().equals("entry") ? VmRole.ENTRY : VmRole.SIDECAR,
                    node.path("host").asText(),
                    node.path("port").asInt(),
                    node.path("dataCentre").asText(),
                    node.path("service").asText(""),
                    node.path("state").asText().equals("leaving")));
        }
        readOnce = true;
        listener.accept(vms);
    }
}
