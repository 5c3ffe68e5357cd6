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

/** Polls the platform's VM list. If a read fails, the previous list stays in use. */
final class VmListPoller {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 3_000;

    private final HttpClient client;
    private final InetSocketAddress platform;
    private final EntryClock clock;
    private final Consumer<List<Vm>> listener;
    private long lastRequestMillis;
    private boolean requestInFlight;
    private boolean hasReadList;

    VmListPoller(HttpClient client, InetSocketAddress platform, EntryClock clock, Consumer<List<Vm>> listener) {
        this.client = client;
        this.platform = platform;
        this.clock = clock;
        this.listener = listener;
    }

    boolean hasReadList() {
        return hasReadList;
    }

    void tick() {
        if (requestInFlight || clock.now() - lastRequestMillis < INTERVAL_MILLIS) {
            return;
        }
        requestInFlight = true;
        lastRequestMillis = clock.now();
        client.send(platform, "GET", "/vms", Map.of(), new byte[0], TIMEOUT_MILLIS, new HttpResponseListener() {
            private final ByteArrayOutputStream body = new ByteArrayOutputStream();
            private int responseStatus;

            @Override
            public void onHead(int status, HttpHeaders headers) {
                responseStatus = status;
            }

            @Override
            public void onChunk(byte[] data) {
                body.writeBytes(data);
            }

            @Override
            public void onEnd() {
                requestInFlight = false;
                if (responseStatus == 200) {
                    Json.parse(body.toByteArray()).ifPresent(VmListPoller.this::readList);
                }
            }

            @Override
            public void onFailure(String reason, boolean requestMayHaveArrived) {
                requestInFlight = false;
            }
        });
    }

    private void readList(JsonNode root) {
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
        hasReadList = true;
        listener.accept(vms);
    }
}
