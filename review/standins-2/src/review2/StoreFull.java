package review2;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Turns are stored until the store is nearly full, all of them kept for retention_s = 1, at about the usual number of
 * turns a second of the site. All processes are killed and started again. Long after all those turns have expired,
 * clients send turns again, of the usual size.
 */
final class StoreFull {
    /** What large turns fill, and what small ones do after them. */
    private static final long LARGE_FILL_BYTES = Store.LIMIT_BYTES - (3L << 19);
    private static final long FILL_BYTES = Store.LIMIT_BYTES - (3L << 16);

    private static final int GATEWAYS = 8;
    private static final int LARGE_BODY_BYTES = 100_000;
    private static final int BODY_BYTES = 4_300;
    private static final int FILLING_CLIENTS = 24;
    private static final double FILLING_TURNS_PER_SECOND = 145;
    private static final long FILL_LIMIT_MILLIS = 45_000;
    private static final long DOWN_MILLIS = 1_000;
    /** Time after the start of the filling at which its first records are due for removal, with a margin. */
    private static final long SECOND_WAVE_MILLIS = 98_000;
    private static final int SECOND_WAVE_TURNS = 300;
    private static final long SECOND_WAVE_GAP_MILLIS = 20;
    private static final String HEADERS = "X-Request-Id: %s\r\nX-Program-Id: p-%s\r\nX-Session-Id: p-%s\r\n"
            + "X-Deadline-Ms: 1500\r\nX-Token-Budget: 2240\r\nX-Token-Usage: 1460,12\r\n"
            + "Authorization: Bearer key-1\r\n";

    private StoreFull() {}

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(Path.of(arguments[0]));
        try {
            run(fleet);
        } catch (Exception failed) {
            failed.printStackTrace();
            fleet.finish(Fleet.NOT_RUN, "the case could not run: " + failed);
        }
    }

    private static void run(Fleet fleet) throws Exception {
        Store store = new Store();
        Server.Work work = new Server.Work() {
            @Override
            public long millis(Http.Message request) {
                return 5;
            }

            @Override
            public int answerBytes(Http.Message request) {
                return 800;
            }
        };
        store.put("keyed.op", "config", Configurations.text(1, 2, 1));
        for (int number = 1; number <= 4; number++) {
            Server server = new Server("llm-" + number, 32, work);
            store.put("keyed.servers", server.id, server.entry("llm"));
        }
        for (int number = 0; number < GATEWAYS; number++) {
            fleet.addGateway(store.port());
        }
        fleet.awaitReady();
        long startMillis = System.currentTimeMillis();
        int[] first = fill(fleet, store);
        long filledMillis = System.currentTimeMillis();
        fleet.note("first wave: " + first[0] + " turns sent, " + first[1] + " served, "
                + first[0] * 1_000L / (filledMillis - startMillis) + " a second; " + stored(store));
        if (store.storedBytes() < FILL_BYTES || first[1] * 4 < first[0]) {
            fleet.finish(Fleet.NOT_RUN, "too few turns in the first wave, or less than a quarter of them served");
        }
        if (Fleet.trouble()) {
            for (Fleet.Gateway gateway : fleet.gateways) {
                fleet.signal(gateway, "KILL");
            }
            Thread.sleep(DOWN_MILLIS);
            for (Fleet.Gateway gateway : fleet.gateways) {
                fleet.start(gateway);
            }
            fleet.awaitReady();
        }
        Thread.sleep(Math.max(0, startMillis + SECOND_WAVE_MILLIS - System.currentTimeMillis()));
        for (Fleet.Gateway gateway : fleet.gateways) {
            fleet.note("gateway " + gateway.number + (Fleet.isReady(gateway) ? " is ready" : " is not ready"));
        }
        fleet.note("second wave begins; the last turn of the first wave ended "
                + (System.currentTimeMillis() - filledMillis) / 1_000 + " s ago; " + stored(store));
        List<Client.Outcome> outcomes = secondWave(fleet);
        long served = outcomes.stream().filter(Client.Outcome::served).count();
        long refused = outcomes.stream().filter(each -> each.complete() && !each.served()).count();
        fleet.note("second wave: " + outcomes.size() + " turns sent, " + served + " served, " + refused
                + " answered with a failure, " + (outcomes.size() - served - refused) + " without a complete answer");
        outcomes.stream().filter(each -> !each.served()).limit(5).forEach(each -> fleet.note("  e.g. " + each));
        fleet.note(stored(store));
        boolean broken = served * 4 < outcomes.size();
        fleet.finish(
                broken ? Fleet.BROKEN : Fleet.HELD,
                broken
                        ? "RECOVER broken: less than a quarter served, over 12 s after the machines are back"
                        : "RECOVER held");
    }

    private static String stored(Store store) {
        return "store: " + (store.storedBytes() >> 20) + " of " + (Store.LIMIT_BYTES >> 20) + " MiB, turns "
                + store.summary("keyed.turns") + ", budgets " + store.summary("keyed.budgets") + ", "
                + store.removals() + " records removed, " + store.refusedAppends() + " appends answered 507";
    }

    private static int[] fill(Fleet fleet, Store store) throws Exception {
        AtomicInteger next = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        long startMillis = System.currentTimeMillis();
        AtomicLong until = new AtomicLong(startMillis + FILL_LIMIT_MILLIS);
        ExecutorService clients = Executors.newFixedThreadPool(FILLING_CLIENTS);
        for (int number = 0; number < FILLING_CLIENTS; number++) {
            int port = fleet.gateways.get(number % fleet.gateways.size()).port;
            clients.submit(() -> {
                try (Client client = new Client(port, 0, 3_000)) {
                    while (store.storedBytes() < FILL_BYTES && System.currentTimeMillis() < until.get()) {
                        int turn = next.incrementAndGet();
                        long dueMillis = startMillis + (long) (turn * 1_000 / FILLING_TURNS_PER_SECOND);
                        Thread.sleep(Math.max(0, dueMillis - System.currentTimeMillis()));
                        if (store.storedBytes() >= FILL_BYTES) {
                            return null;
                        }
                        sent.incrementAndGet();
                        int bodyBytes = store.storedBytes() < LARGE_FILL_BYTES ? LARGE_BODY_BYTES : BODY_BYTES;
                        Client.Outcome outcome = turn(client, "%016x".formatted(0x1000000L + turn), bodyBytes);
                        served.addAndGet(outcome.served() ? 1 : 0);
                        if (!outcome.complete()) {
                            return null;
                        }
                    }
                }
                return null;
            });
        }
        clients.shutdown();
        clients.awaitTermination(60, TimeUnit.SECONDS);
        return new int[] {sent.get(), served.get()};
    }

    private static List<Client.Outcome> secondWave(Fleet fleet) throws Exception {
        List<Client.Outcome> outcomes = new CopyOnWriteArrayList<>();
        ExecutorService clients = Executors.newCachedThreadPool();
        for (int number = 0; number < SECOND_WAVE_TURNS; number++) {
            int port = fleet.gateways.get(number % fleet.gateways.size()).port;
            String id = "%016x".formatted(0x2000000L + number);
            clients.submit(() -> {
                try (Client client = new Client(port, 0, 3_000)) {
                    outcomes.add(turn(client, id, BODY_BYTES));
                }
                return null;
            });
            Thread.sleep(SECOND_WAVE_GAP_MILLIS);
        }
        clients.shutdown();
        clients.awaitTermination(5, TimeUnit.SECONDS);
        return outcomes;
    }

    private static Client.Outcome turn(Client client, String id, int bodyBytes) {
        return client.exchange("POST", "/chat/1", HEADERS.formatted(id, id, id), Server.body(bodyBytes));
    }
}
