package review2;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Gateways of a small deployment, each a process with the command of the deploy file, and the record of the case. */
final class Fleet implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private static final String SETTINGS =
            """
            node_name: "edge-%s-%d"
            role: "gateway"
            machine_class: "edge"
            serves: ["edge"]
            ip: "127.0.0.1"
            zone: "%s"
            region: "tt-south"
            zones: {tt-south-a: "tt-south", tt-south-b: "tt-south"}
            listen: {frontend: "127.0.0.1:%d", ready_address: "127.0.0.1:%d"}
            internal_ports: [%d]
            bootstrap: false
            limits: {cpu_share: 0.75, cores: 2, memory_mb: 290, max_fds: 8200, link_mbps: 1000.0, disk_mb: 0}
            data_dir: null
            discovery: "platform"
            entry: "vip"
            heartbeat_ms: 1200
            contracts: ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "tenants", "quota", "platform"]
            bounds: {stable_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, revoke_strict: true, revoke_ms: 5000, quota_window_s: 5, quota_overrun: 0.1, quota_slack: 20, recover_s: 12}
            platform: {address: "127.0.0.1:%d", form: "log", writes_per_s: 800, reads_per_s: 2000, parts: 12, append_ms: 2.0, partition_mb_s: 20.0, read_mb_s: 80.0, record_bytes: 262144, call_bytes: 2097152, retention_s: 20, part_mb: 200, ttl_min_ms: 1000}
            """;

    static final class Gateway {
        final int number;
        int port;
        int probePort;
        Path settings;
        Process process;

        Gateway(int number) {
            this.number = number;
        }
    }

    final List<Gateway> gateways = new ArrayList<>();
    final Path folder;
    private final Path record;
    private final StringBuilder lines = new StringBuilder();
    private final long startMillis = System.currentTimeMillis();

    Fleet(Path caseFolder) throws IOException {
        folder = Files.createTempDirectory("review-2-");
        record = caseFolder.resolve("record.txt");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    synchronized void note(String line) {
        String timed = "%7d ms  %s".formatted(System.currentTimeMillis() - startMillis, line);
        lines.append(timed).append('\n');
        System.out.println(timed);
    }

    void addGateway(int storePort) throws IOException {
        addGateway(storePort, "tt-south-a");
    }

    void addGateway(int storePort, String zone) throws IOException {
        Gateway gateway = new Gateway(gateways.size() + 1);
        gateway.port = freePort();
        gateway.probePort = freePort();
        gateway.settings = folder.resolve("settings-" + gateway.number + ".yaml");
        Files.writeString(
                gateway.settings,
                SETTINGS.formatted(
                        zone, gateway.number, zone, gateway.port, gateway.probePort, freePort(), storePort));
        gateways.add(gateway);
        start(gateway);
    }

    void start(Gateway gateway) throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\.gateway]\\s+run = \"([^\"]+)\"").matcher(deploy);
        if (!run.find()) {
            throw new IOException("no run line in deploy/system.toml");
        }
        ProcessBuilder builder =
                new ProcessBuilder(Arrays.asList(run.group(1).split(" "))).redirectErrorStream(true);
        Map<String, String> environment = builder.environment();
        environment.keySet().removeIf(name -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(name));
        environment.put("QUETZALSHUNT_CONFIG", gateway.settings.toString());
        File log = folder.resolve("gateway-" + gateway.number + ".log").toFile();
        gateway.process = builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
        note("gateway " + gateway.number + " started, process " + gateway.process.pid());
    }

    /** Waits until all gateways report that they are ready. */
    void awaitReady() throws Exception {
        long until = System.currentTimeMillis() + 20_000;
        for (Gateway gateway : gateways) {
            while (!isReady(gateway)) {
                if (System.currentTimeMillis() > until) {
                    throw new IOException("gateway " + gateway.number + " is not ready");
                }
                Thread.sleep(50);
            }
            note("gateway " + gateway.number + " is ready");
        }
    }

    boolean allReady() {
        return gateways.stream().allMatch(Fleet::isReady);
    }

    static boolean isReady(Gateway gateway) {
        try (Client probe = new Client(gateway.probePort, 0, 1_000)) {
            return probe.exchange("GET", "/readyz", "", new byte[0]).status() == 200;
        } catch (IOException down) {
            return false;
        }
    }

    void signal(Gateway gateway, String name) throws Exception {
        new ProcessBuilder("sh", "-c", "kill -" + name + " " + gateway.process.pid())
                .start()
                .waitFor();
        note("SIG" + name + " to gateway " + gateway.number);
    }

    static int freePort() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int port = 20_000 + java.util.concurrent.ThreadLocalRandom.current().nextInt(12_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException taken) {
                continue;
            }
        }
        throw new IOException("no free port");
    }

    private void killAll() {
        for (Gateway gateway : gateways) {
            if (gateway.process != null) {
                gateway.process.destroyForcibly();
            }
        }
    }

    /** Writes the record, ends all processes and this one. */
    void finish(int result, String verdict) throws Exception {
        note(verdict);
        killAll();
        for (Gateway gateway : gateways) {
            gateway.process.waitFor(5, TimeUnit.SECONDS);
        }
        try (PrintWriter out = new PrintWriter(record.toFile(), StandardCharsets.UTF_8)) {
            out.print(lines);
        }
        if (System.getenv("KEEP_LOGS") == null) {
            File[] files = folder.toFile().listFiles();
            for (File file : files == null ? new File[0] : files) {
                Files.deleteIfExists(file.toPath());
            }
            Files.deleteIfExists(folder);
        } else {
            System.out.println("logs: " + folder);
        }
        System.exit(result);
    }

    @Override
    public void close() {
        killAll();
    }
}
