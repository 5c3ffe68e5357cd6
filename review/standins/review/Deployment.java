package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.quetzalshunt.standin.fleet.StoreStandin;

/** A small deployment on loopback addresses: the project's store stand-in, servers, and gateways. */
final class Deployment implements AutoCloseable {
    private static final long START_TIMEOUT_MILLIS = 20_000;

    final StoreStandin store = StoreStandin.start();
    final List<Gateway> gateways = new ArrayList<>();
    final List<Server> servers = new ArrayList<>();
    private final Path folder = Files.createTempDirectory("review");

    Deployment() throws IOException {
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Stores the configuration, as the operator does. */
    void configure(String json) {
        store.put("keyed.op", "config", json.getBytes(StandardCharsets.UTF_8));
    }

    /** Adds a server to the list of servers, as the server itself does. */
    void register(Server server, String service, String zone) {
        servers.add(server);
        String entry = """
                {"service":"%s","address":"127.0.0.1:%d","zone":"%s","version":"v1","slots":%d,"state":"ready",\
                "cold_remaining_ms":0,"born":%d,"sequence":1}"""
                .formatted(service, server.port(), zone, server.slots, System.currentTimeMillis());
        store.put("keyed.servers", server.id, entry.getBytes(StandardCharsets.UTF_8));
    }

    /** Starts gateways in two zones by turns. */
    void startGateways(int count) throws IOException {
        for (int number = 0; number < count; number++) {
            String zone = number % 2 == 0 ? "tt-south-a" : "tt-south-b";
            gateways.add(new Gateway(folder, "edge-" + zone + "-" + (number / 2 + 1), zone, store.port()));
        }
        startAll();
    }

    /** Starts all gateways at once and waits until they are ready. */
    void startAll() throws IOException {
        for (Gateway gateway : gateways) {
            gateway.start();
        }
        for (Gateway gateway : gateways) {
            gateway.awaitReady(START_TIMEOUT_MILLIS);
        }
    }

    /** Kills all gateways at the same moment. */
    void killAll() {
        List<Thread> kills = gateways.stream()
                .map(gateway -> Threads.daemon("kill", gateway::kill))
                .toList();
        for (Thread kill : kills) {
            try {
                kill.join();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** All requests that the servers began to work on. */
    List<Server.Run> runs() {
        return servers.stream().flatMap(server -> server.runs().stream()).toList();
    }

    @Override
    public synchronized void close() {
        gateways.forEach(Gateway::close);
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException gone) {
            // Already deleted.
        }
    }
}
