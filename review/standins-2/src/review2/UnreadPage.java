package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * More servers are registered than one page of the store's answer holds. The store forgets its history as a server
 * leaves, and its connections are cut while the gateways read the registrations again. The server that left goes on to
 * serve for a while, as servers do, and must get no more requests.
 */
final class UnreadPage {
    private static final int OTHER_SERVERS = 505;
    private static final String SECOND_PAGE = "GET /log-newest?topic=keyed.servers&part=0&after=";
    private static final int CLIENTS = 4;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long STABLE_MILLIS = 3_000;
    private static final long SERVES_ON_MILLIS = 20_000;
    private static final long PAUSE_MILLIS = 60;

    private static final long STARTED_MILLIS = System.currentTimeMillis();
    private static final AtomicInteger SEQUENCE = new AtomicInteger();
    /** Held while the heartbeats of the app servers are written. */
    private static final Object HEARTBEATS = new Object();

    private static volatile boolean stopping;
    private static volatile Server left;
    private static final ConcurrentHashMap<String, Long> SENT = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(Path.of(arguments[0]));
        Store store = new Store();
        store.put("keyed.op", "config", Configurations.plain(1));
        List<Server> apps = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            apps.add(new Server("i-app-" + number, 6, new QuickWork()));
        }
        List<Server> others = new ArrayList<>();
        for (int number = 1; number <= OTHER_SERVERS; number++) {
            others.add(new Server("i-llm-%03d".formatted(number), 8, new QuickWork()));
        }
        writeHeartbeats(store, apps, others);
        CutProxy proxy = new CutProxy(store.port(), SECOND_PAGE);
        fleet.addGateway(proxy.port());
        fleet.addGateway(proxy.port());
        fleet.awaitReady();
        fleet.note(OTHER_SERVERS + " servers of service llm and 3 of service app are registered");
        Thread.sleep(4_000);
        for (int number = 0; number < CLIENTS; number++) {
            startClient(fleet.gateways.get(number % 2), number);
        }
        Thread.sleep(4_000);

        Server leaving = apps.get(0);
        synchronized (HEARTBEATS) {
            left = leaving;
        }
        synchronized (store) {
            store.put("keyed.servers", leaving.id, "");
            if (Fleet.trouble()) {
                store.forget("keyed.servers");
            }
        }
        long leftMillis = System.currentTimeMillis();
        if (Fleet.trouble()) {
            proxy.arm();
        }
        fleet.note("the entry of " + leaving.id + " is removed; it goes on to serve for " + SERVES_ON_MILLIS + " ms"
                + (Fleet.trouble()
                        ? "; the store forgets its history, and cuts its connections as it is read again"
                        : ""));
        Thread.sleep(SERVES_ON_MILLIS);
        leaving.crash();
        stopping = true;
        Thread.sleep(500);

        if (Fleet.trouble() && proxy.cutMillis() == 0) {
            fleet.finish(Fleet.NOT_RUN, "NOT RUN: the store was not read again");
        }
        long inTouchMillis = Math.max(leftMillis, proxy.cutMillis()) + STABLE_MILLIS;
        long first = leaving.runs.stream()
                .filter(run -> run.startedMillis() > leftMillis + DRAIN_MILLIS)
                .count();
        List<Server.Run> late = leaving.runs.stream()
                .filter(run -> run.startedMillis() > leftMillis + DRAIN_MILLIS)
                .filter(run -> SENT.getOrDefault(run.id(), 0L) > inTouchMillis)
                .toList();
        fleet.note("requests that " + leaving.id + " ran later than drain_ms after its removal: " + first
                + "; of these sent when the store had been calm for stable_ms: " + late.size());
        late.stream()
                .limit(5)
                .forEach(run -> fleet.note("  " + run.id() + " ran " + (run.startedMillis() - leftMillis)
                        + " ms after the removal was acknowledged"));
        boolean broken = !late.isEmpty();
        fleet.finish(
                broken ? Fleet.BROKEN : Fleet.HELD,
                broken
                        ? "BROKEN: DRAIN: a server that is gone got requests later than drain_ms after"
                        : "HELD: no request reached the server that is gone");
    }

    private static void writeHeartbeats(Store store, List<Server> apps, List<Server> others) {
        apps.forEach(server -> store.put("keyed.servers", server.id, entry(server, "app")));
        others.forEach(server -> store.put("keyed.servers", server.id, entry(server, "llm")));
        Thread writer = new Thread(() -> {
            while (!stopping) {
                sleep(HEARTBEAT_MILLIS);
                synchronized (HEARTBEATS) {
                    for (Server server : apps) {
                        if (server != left) {
                            store.put("keyed.servers", server.id, entry(server, "app"));
                        }
                    }
                }
                others.forEach(server -> store.put("keyed.servers", server.id, entry(server, "llm")));
            }
        });
        writer.setDaemon(true);
        writer.start();
    }

    /** A server's entry as of its last heartbeat; only its sequence changes. */
    private static String entry(Server server, String service) {
        return server.entry(service)
                .replaceFirst("\"born\":\\d+", "\"born\":" + STARTED_MILLIS)
                .replaceFirst("\"sequence\":\\d+", "\"sequence\":" + SEQUENCE.incrementAndGet());
    }

    private static void startClient(Fleet.Gateway gateway, int number) {
        Thread thread = new Thread(() -> {
            AtomicInteger count = new AtomicInteger();
            while (!stopping) {
                try (Client client = new Client(gateway.port, 0, 7_000)) {
                    Client.Outcome outcome;
                    do {
                        String id = "order-" + number + "-" + count.incrementAndGet();
                        SENT.put(id, System.currentTimeMillis());
                        outcome = client.exchange(
                                "POST",
                                "/order/1",
                                "X-Request-Id: " + id + "\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer key-1\r\n",
                                "an order".getBytes());
                        sleep(PAUSE_MILLIS);
                    } while (!stopping && outcome.complete());
                } catch (Exception ended) {
                    sleep(PAUSE_MILLIS);
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static final class QuickWork implements Server.Work {
        @Override
        public long millis(Http.Message request) {
            return 100;
        }

        @Override
        public int answerBytes(Http.Message request) {
            return 800;
        }
    }
}
