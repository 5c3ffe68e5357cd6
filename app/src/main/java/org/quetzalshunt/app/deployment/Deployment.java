package org.quetzalshunt.app.deployment;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.server.entry.EntryProcess;
import org.quetzalshunt.server.entry.EntrySettings;
import org.quetzalshunt.server.sidecar.SidecarProcess;
import org.quetzalshunt.server.sidecar.SidecarSettings;
import org.quetzalshunt.standin.control.Fault;
import org.quetzalshunt.standin.engine.EngineStandin;
import org.quetzalshunt.standin.platform.PlatformStandin;
import org.quetzalshunt.standin.service.ServiceStandin;
import org.quetzalshunt.wire.json.Json;

/**
 * A running deployment: the platform's stand-in, entries, and sidecars with their endpoints. Methods block, so they may
 * be called from any thread except an event loop thread.
 */
public final class Deployment implements AutoCloseable {
    /** Name of the service that the model engines run. */
    public static final String CHAT_SERVICE = "tutor";

    /** Name of the plain service. */
    public static final String PLAIN_SERVICE = "walls";

    private static final String HOST = "127.0.0.1";
    private static final byte[] LINK_SECRET = "loopback-demo-secret".getBytes(java.nio.charset.StandardCharsets.UTF_8);
    private static final int SHARD_COUNT = 12;
    private static final long COMMIT_INTERVAL_MILLIS = 25;

    private final DeploymentPlan plan;
    private final EventLoopGroup standinGroup = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final PlatformStandin platform;
    private final Map<String, EntryProcess> entries = new ConcurrentSkipListMap<>();
    private final Map<String, SidecarProcess> sidecars = new ConcurrentSkipListMap<>();
    private final Map<String, EngineStandin> engines = new ConcurrentSkipListMap<>();
    private final Map<String, ServiceStandin> services = new ConcurrentSkipListMap<>();
    private final Map<String, InetSocketAddress> endpointAddresses = new ConcurrentSkipListMap<>();
    private final ApiClient client = ApiClient.create();
    private final DemoKeys keys = DemoKeys.create();
    private long incarnation = System.currentTimeMillis();

    private Deployment(DeploymentPlan plan) {
        this.plan = plan;
        this.platform = PlatformStandin.start(standinGroup, ephemeralPort(), plan.platform());
    }

    /** Starts all processes and uploads the service documents. Returns once every entry is ready and serves them. */
    public static Deployment start(DeploymentPlan plan) {
        Deployment deployment = new Deployment(plan);
        for (int number = 0; number < plan.engines(); number++) {
            deployment.addEngine("engine-" + number, deployment.dataCentre(number));
        }
        for (int number = 0; number < plan.plainServices(); number++) {
            deployment.addPlainService("walls-" + number, deployment.dataCentre(number));
        }
        for (int number = 0; number < plan.entries(); number++) {
            deployment.addEntry("entry-" + number, deployment.dataCentre(number));
        }
        deployment.awaitReady();
        deployment.putDocuments();
        deployment.awaitDocuments();
        return deployment;
    }

    private String dataCentre(int number) {
        return plan.dataCentres().get(number % plan.dataCentres().size());
    }

    /** Starts an entry and adds it to the platform's list of VMs. Reusing a name starts a new incarnation. */
    public void addEntry(String name, String dataCentre) {
        EntrySettings settings = new EntrySettings(
                name,
                ++incarnation,
                dataCentre,
                HOST,
                0,
                0,
                platformAddress(),
                LINK_SECRET.clone(),
                SHARD_COUNT,
                COMMIT_INTERVAL_MILLIS,
                keys.operatorTeams(),
                plan.stopMillis());
        EntryProcess entry = EntryProcess.start(settings);
        entries.put(name, entry);
        registerVm(name, "entry", entry.linkPort(), dataCentre, "");
    }

    /** Starts an engine with its sidecar and adds the sidecar to the platform's list of VMs. */
    public void addEngine(String name, String dataCentre) {
        EngineStandin engine = EngineStandin.start(standinGroup, ephemeralPort(), plan.engine());
        engines.put(name, engine);
        addSidecar(name, dataCentre, CHAT_SERVICE, ServiceKind.ENGINE, engine.port());
    }

    /** Starts a plain service with its sidecar and adds the sidecar to the platform's list of VMs. */
    public void addPlainService(String name, String dataCentre) {
        ServiceStandin service = ServiceStandin.start(standinGroup, ephemeralPort(), plan.service());
        services.put(name, service);
        addSidecar(name, dataCentre, PLAIN_SERVICE, ServiceKind.PLAIN, service.port());
    }

    private void addSidecar(String name, String dataCentre, String service, ServiceKind kind, int endpointPort) {
        InetSocketAddress endpoint = new InetSocketAddress(HOST, endpointPort);
        endpointAddresses.put(name, endpoint);
        SidecarProcess sidecar = SidecarProcess.start(SidecarSettings.of(
                VmId.of(name, ++incarnation),
                dataCentre,
                HOST,
                0,
                0,
                service,
                kind,
                endpoint,
                Optional.of(platformAddress()),
                LINK_SECRET.clone()));
        sidecars.put(name, sidecar);
        registerVm(name, "sidecar", sidecar.linkPort(), dataCentre, service);
    }

    private void registerVm(String name, String role, int port, String dataCentre, String service) {
        byte[] body = Json.bytes(Json.object()
                .put("name", name)
                .put("role", role)
                .put("host", HOST)
                .put("port", port)
                .put("dataCentre", dataCentre)
                .put("service", service)
                .put("state", "live"));
        client.send("PUT", platformUrl() + "/standin/vms/" + name, Map.of(), body);
    }

    /** Removes a VM from the platform's list of VMs. */
    public void deregisterVm(String name) {
        client.send("DELETE", platformUrl() + "/standin/vms/" + name, Map.of(), new byte[0]);
    }

    private void awaitReady() {
        for (String url : entryUrls()) {
            client.awaitStatus(url + "/readyz", 200);
        }
    }

    private void putDocuments() {
        putDocument(CHAT_SERVICE, DemoDocuments.chatService(plan, keys));
        putDocument(PLAIN_SERVICE, DemoDocuments.plainService(plan, keys));
    }

    /** Uploads a service document, replacing the current version if there is one. */
    public void putDocument(String service, String text) {
        String url = entryUrls().get(0) + "/admin/v1/services/" + service;
        Map<String, String> authorization = Map.of("authorization", "Bearer " + keys.operatorKey());
        ApiClient.Response current = client.send("GET", url, authorization, new byte[0]);
        Map<String, String> headers = new LinkedHashMap<>(authorization);
        if (current.status() == 200) {
            headers.put("if-match", current.header("etag").orElseThrow());
        }
        ApiClient.Response put =
                client.send("PUT", url, headers, text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        if (put.status() != 200) {
            throw new IllegalStateException("service document rejected: " + put.text());
        }
    }

    private void awaitDocuments() {
        String key = keys.callerKey(DemoKeys.ACCOUNTS.get(0));
        for (String url : entryUrls()) {
            client.awaitText(url + "/v1/models", Map.of("authorization", "Bearer " + key), PLAIN_SERVICE);
        }
    }

    /** Kills an entry without a graceful shutdown, to simulate a crash. */
    public void killEntry(String name) {
        entries.remove(name).kill();
    }

    /** Shuts an entry down gracefully. */
    public CompletableFuture<Void> stopEntry(String name) {
        return entries.remove(name).stop();
    }

    /** Activates a fault of a plain service. */
    public void setServiceFault(String name, Fault fault) {
        services.get(name).set(fault);
    }

    /** Kills an engine to simulate a crash. Its sidecar keeps running. */
    public void killEngine(String name) {
        engines.remove(name).close();
    }

    /** Shuts a sidecar down gracefully, which takes its endpoint out of service. */
    public CompletableFuture<Void> drainEndpoint(String name) {
        return sidecars.remove(name).stop();
    }

    /** Withdraws an account's key by updating the documents of both services. */
    public void withdrawKey(String account) {
        keys.withdraw(account);
        putDocuments();
    }

    /** Keys of callers and operators. */
    public DemoKeys keys() {
        return keys;
    }

    /** Names of the running entries. */
    public List<String> entryNames() {
        return new ArrayList<>(entries.keySet());
    }

    /** Base URLs of the running entries. */
    public List<String> entryUrls() {
        return entries.values().stream()
                .map(entry -> "http://" + HOST + ":" + entry.httpPort())
                .toList();
    }

    /** Base URL of an entry. */
    public String entryUrl(String name) {
        return "http://" + HOST + ":" + entries.get(name).httpPort();
    }

    /** Base URLs of the sidecars' status pages by name. */
    public Map<String, String> sidecarUrls() {
        Map<String, String> urls = new ConcurrentSkipListMap<>();
        sidecars.forEach((name, sidecar) -> urls.put(name, "http://" + HOST + ":" + sidecar.httpPort()));
        return urls;
    }

    /** Base URLs of the stand-ins by name. */
    public Map<String, String> standinUrls() {
        Map<String, String> urls = new ConcurrentSkipListMap<>();
        urls.put("platform", platformUrl());
        endpointAddresses.forEach((name, address) -> urls.put(name, "http://" + HOST + ":" + address.getPort()));
        return urls;
    }

    /** The platform's stand-in. */
    public PlatformStandin platform() {
        return platform;
    }

    private InetSocketAddress platformAddress() {
        return new InetSocketAddress(HOST, platform.port());
    }

    private String platformUrl() {
        return "http://" + HOST + ":" + platform.port();
    }

    private static InetSocketAddress ephemeralPort() {
        return new InetSocketAddress(HOST, 0);
    }

    /** Kills all processes and stand-ins without a graceful shutdown. */
    @Override
    public void close() {
        entries.values().forEach(EntryProcess::kill);
        sidecars.values().forEach(SidecarProcess::kill);
        engines.values().forEach(EngineStandin::close);
        services.values().forEach(ServiceStandin::close);
        platform.close();
        standinGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
