package review2;

import java.nio.file.Path;

/**
 * All places of a service are taken by its other callers. A request that arrives shortly after the SIGTERM of its
 * gateway waits there for a free place until the gateway ends.
 */
final class HeldAtStop {
    private static final long SEND_AFTER_MILLIS = 1_900;
    private static final String HEADERS = "X-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer key-1\r\n";

    private HeldAtStop() {}

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(Path.of(arguments[0]));
        try {
            run(fleet);
        } catch (Exception failed) {
            fleet.finish(Fleet.NOT_RUN, "the case could not run: " + failed);
        }
    }

    private static void run(Fleet fleet) throws Exception {
        Store store = new Store();
        Server.Work work = new Server.Work() {
            @Override
            public long millis(Http.Message request) {
                return 100;
            }

            @Override
            public int answerBytes(Http.Message request) {
                return 800;
            }
        };
        Server full = new Server("app-1", 0, work);
        store.put("keyed.op", "config", Configurations.plain(1));
        store.put("keyed.servers", full.id, full.entry("app").replace("\"slots\":0", "\"slots\":6"));
        fleet.addGateway(store.port());
        fleet.awaitReady();
        Fleet.Gateway gateway = fleet.gateways.get(0);
        Client client = new Client(gateway.port, 0, 9_000);
        long termMillis = System.currentTimeMillis();
        if (Fleet.trouble()) {
            fleet.signal(gateway, "TERM");
        }
        Thread.sleep(SEND_AFTER_MILLIS);
        fleet.note("order-1 (non_idempotent, X-Deadline-Ms 6000) sent on a connection opened before the SIGTERM");
        Client.Outcome outcome =
                client.exchange("POST", "/order/1", HEADERS.formatted("order-1"), Server.body(600));
        fleet.note("order-1: " + outcome + ", sent " + (outcome.sentMillis() - termMillis) + " ms and ended "
                + (outcome.endedMillis() - termMillis) + " ms after the SIGTERM; run by servers: "
                + full.runs.size());
        boolean broken = !outcome.complete() && outcome.endedMillis() - outcome.sentMillis() < 6_000;
        fleet.finish(
                broken ? Fleet.BROKEN : Fleet.HELD,
                broken
                        ? "LOST broken: order-1 was read, and its connection ended without an answer before its deadline"
                        : "LOST held");
    }
}
