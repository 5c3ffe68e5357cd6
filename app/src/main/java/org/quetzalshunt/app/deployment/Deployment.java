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
import org.quetzalshunt.standin.engine.EngineStandin;
import org.quetzalshunt.standin.platform.PlatformStandin;
import org.quetzalshunt.standin.service.ServiceStandin;
import org.quetzalshunt.wire.json.Json;

/** One running deployment. Its methods may be called from any thread but an event loop's. */
public final class Deployment implements AutoCloseable {
    /** Name of the engines' service. */
    public static final String CHAT_SERVICE = "tutor";

    /** Name of the plain service. */
    public static final String PLAIN_SERVICE = "walls";

    private static final String HOST = "127.0.0.1";
    private static final byte[] SECRET = "loopback-demo-secret".getBytes(java.nio.charset.StandardCharsets.UTF_8);
    private static final int SHARDS = 12;
    private static final long COMMIT_MILLIS = 25;
    private static final long STOP_MILLIS = 20_000;

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
        this.platform = PlatformStandin.start(standinGroup, anyPort(), plan.platform());
    }

    /** Starts everything and puts the documents; returns once every entry is ready. */
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

    /** Starts an entry and lists it; one of the same name as before is a new incarnation. */
    public void addEntry(String name, String dataCentre) {
        EntrySettings settings = new EntrySettings(
                name,
                ++incarnation,
                dataCentre,
                HOST,
                0,
                0,
                platformAddress(),
                SECRET.clone(),
                SHARDS,
                COMMIT_MILLIS,
                keys.operatorTeams(),
                STOP_MILLIS);
        EntryProcess entry = EntryProcess.start(settings);
        entries.put(name, entry);
        listVm(name, "entry", entry.linkPort(), dataCentre, "");
    }

    /** Starts an engine with its sidecar and lists the sidecar. */
    public void addEngine(String name, String dataCentre) {
        EngineStandin engine = EngineStandin.start(standinGroup, anyPort(), plan.engine());
        engines.put(name, engine);
        addSidecar(name, dataCentre, CHAT_SERVICE, ServiceKind.ENGINE, engine.port());
    }

    /** Starts a plain service with its sidecar and lists the sidecar. */
    public void addPlainService(String name, String dataCentre) {
        ServiceStandin service = ServiceStandin.start(standinGroup, anyPort(), plan.service());
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
                SECRET.clone()));
        sidecars.put(name, sidecar);
        listVm(name, "sidecar", sidecar.linkPort(), dataCentre, service);
    }

    private void listVm(String name, String role, int port, String dataCentre, String service) {
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

    /** Takes a VM off the platform's list. */
    public void unlistVm(String name) {
        client.send("DELETE", platformUrl() + "/standin/vms/" + name, Map.of(), new byte[0]);
    }

    private void awaitReady() {
        for (String url : entryUrls()) {
            client.await(url + "/readyz", 200);
        }
    }

    private void putDocuments() {
        putDocument(CHAT_SERVICE, DemoDocuments.chat(plan, keys));
        putDocument(PLAIN_SERVICE, DemoDocuments.plain(plan, keys));
    }

    /** Puts a document in place of the version in force. */
    public void putDocument(String service, String text) {
        String url = entryUrls().get(0) + "/admin/v1/services/" + service;
        Map<String, String> authorization = Map.of("authorization", "Bearer " + keys.operatorKey());
        ApiClient.Answer current = client.send("GET", url, authorization, new byte[0]);
        Map<String, String> headers = new LinkedHashMap<>(authorization);
        if (current.status() == 200) {
            headers.put("if-match", current.header("etag").orElseThrow());
        }
        ApiClient.Answer put = client.send("PUT", url, headers, text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        if (put.status() != 200) {
            throw new IllegalStateException("document refused: " + put.text());
        }
    }

    private void awaitDocuments() {
        String key = keys.callerKey(DemoKeys.ACCOUNTS.get(0));
        for (String url : entryUrls()) {
            client.awaitText(url + "/v1/models", Map.of("authorization", "Bearer " + key), PLAIN_SERVICE);
        }
    }

    /** Ends an entry as a crash would. */
    public void killEntry(String name) {
        entries.remove(name).kill();
    }

    /** Stops an entry in the planned way. */
    public CompletableFuture<Void> stopEntry(String name) {
        return entries.remove(name).stop();
    }

    /** Ends an engine as a crash would; its sidecar stays. */
    public void killEngine(String name) {
        engines.remove(name).close();
    }

    /** Stops a sidecar in the planned way: its endpoint leaves. */
    public CompletableFuture<Void> drainEndpoint(String name) {
        return sidecars.remove(name).stop();
    }

    /** Withdraws an account's key at both services. */
    public void withdrawKey(String account) {
        keys.withdraw(account);
        putDocuments();
    }

    /** Keys of callers and operators. */
    public DemoKeys keys() {
        return keys;
    }

    /** Names of the entries that run. */
    public List<String> entryNames() {
        return new ArrayList<>(entries.keySet());
    }

    /** Base URLs of the entries that run. */
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

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(HOST, 0);
    }

    /** Ends everything at once. */
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
