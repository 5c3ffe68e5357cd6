package org.quetzalshunt.server.entry;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.NetUtil;
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
import org.tinylog.Logger;

/** Polls the platform's VM list. If a read fails, the previous list stays in use. */
final class VmListPoller {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final int LARGEST_PORT = 65_535;

    private final HttpClient client;
    private final InetSocketAddress platform;
    private final EntryClock clock;
    private final Consumer<List<Vm>> listener;
    private long lastRequestMillis;
    private boolean requestInFlight;
    private boolean hasReadList;
    private int unusableVms;

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
        List<Vm> vms = decode(root);
        logUnusable(root.path("vms").size() - vms.size());
        hasReadList = true;
        listener.accept(vms);
    }

    /** Logs a change of the number of VMs that are left out of the list. */
    private void logUnusable(int unusable) {
        if (unusable != unusableVms) {
            unusableVms = unusable;
            Logger.warn("{} VMs of the platform's list have no usable name, address or port", unusable);
        }
    }

    /** Decodes the VMs of the list; those without a name, an IP address or a port are left out. */
    static List<Vm> decode(JsonNode root) {
        List<Vm> vms = new ArrayList<>();
        for (JsonNode node : root.path("vms")) {
            if (!isUsable(node)) {
                continue;
            }
            vms.add(new Vm(
                    node.path("name").asText(),
                    node.path("role").asText().equals("entry") ? VmRole.ENTRY : VmRole.SIDECAR,
                    node.path("host").asText(),
                    node.path("port").asInt(),
                    node.path("dataCentre").asText(),
                    node.path("service").asText(""),
                    node.path("state").asText().equals("leaving")));
        }
        return vms;
    }

    /** A host that is not an IP address would be looked up as a name, which holds the event loop. */
    private static boolean isUsable(JsonNode node) {
        String host = node.path("host").asText();
        JsonNode port = node.path("port");
        return !node.path("name").asText().isEmpty()
                && (NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host))
                && port.isIntegralNumber()
                && port.canConvertToInt()
                && port.intValue() > 0
                && port.intValue() <= LARGEST_PORT;
    }
}
