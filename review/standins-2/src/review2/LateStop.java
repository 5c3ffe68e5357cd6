package review2;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

/**
 * A client keeps its connection to a gateway that stops. Its first request, sent before the SIGTERM, is answered 3.5 s
 * after it; the second one, sent at once on the same connection, is accepted and passed on. The server would answer it
 * within grace_s.
 */
final class LateStop {
    private static final long FIRST_WORK_MILLIS = 4_050;
    private static final long SECOND_WORK_MILLIS = 4_000;
    private static final long TERM_AFTER_MILLIS = 500;
    private static final String HEADERS = "X-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer key-1\r\n";

    private LateStop() {}

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
        Server server = new Server("app-1", 6, new Server.Work() {
            @Override
            public long millis(Http.Message request) {
                return request.header("x-request-id").equals("order-1") ? FIRST_WORK_MILLIS : SECOND_WORK_MILLIS;
            }

            @Override
            public int answerBytes(Http.Message request) {
                return 800;
            }
        });
        store.put("keyed.op", "config", Configurations.plain(1));
        store.put("keyed.servers", server.id, server.entry("app"));
        fleet.addGateway(store.port());
        fleet.awaitReady();
        Fleet.Gateway gateway = fleet.gateways.get(0);
        Client client = new Client(gateway.port, 0, 9_000);
        byte[] body = Server.body(600);
        fleet.note("order-1 (non_idempotent, X-Deadline-Ms 6000) sent on a connection that stays open");
        CompletableFuture<Client.Outcome> first =
                CompletableFuture.supplyAsync(() -> client.exchange("POST", "/order/1", HEADERS.formatted("order-1"), body));
        Thread.sleep(TERM_AFTER_MILLIS);
        long termMillis = System.currentTimeMillis();
        if (Fleet.trouble()) {
            fleet.signal(gateway, "TERM");
        }
        Client.Outcome firstOutcome = first.get();
        fleet.note("order-1: " + firstOutcome + ", " + (firstOutcome.endedMillis() - termMillis)
                + " ms after the SIGTERM; Connection: "
                + (firstOutcome.answer() == null ? "-" : firstOutcome.answer().header("connection")));
        if (!firstOutcome.served()) {
            fleet.finish(Fleet.NOT_RUN, "order-1 was not served");
        }
        fleet.note("order-2 (non_idempotent, X-Deadline-Ms 6000) sent on the same connection");
        Client.Outcome second = client.exchange("POST", "/order/2", HEADERS.formatted("order-2"), body);
        fleet.note("order-2: " + second + ", sent " + (second.sentMillis() - termMillis) + " ms and ended "
                + (second.endedMillis() - termMillis) + " ms after the SIGTERM");
        server.runs.forEach(run ->
                fleet.note("server ran " + run.id() + " from " + (run.startedMillis() - termMillis)
                        + " ms after the SIGTERM"));
        boolean ran = server.runs.stream().anyMatch(run -> run.id().equals("order-2"));
        boolean broken = ran && !second.complete();
        fleet.finish(
                broken ? Fleet.BROKEN : Fleet.HELD,
                broken
                        ? "LOST broken: order-2 was passed on, and its connection ended without an answer"
                        : "LOST held");
    }
}
