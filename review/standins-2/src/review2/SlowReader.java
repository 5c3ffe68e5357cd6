package review2;

import java.nio.file.Path;
import java.util.Arrays;

/** A client reads a long answer slowly but steadily, while its gateway gets a SIGTERM. */
final class SlowReader {
    private static final int ANSWER_BYTES = 1_000_000;
    private static final int BYTES_PER_SECOND = 220_000;
    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;
    private static final long TERM_AFTER_MILLIS = 300;
    private static final String HEADERS = "X-Request-Id: order-1\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer key-1\r\n";

    private SlowReader() {}

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
                return 100;
            }

            @Override
            public int answerBytes(Http.Message request) {
                return ANSWER_BYTES;
            }
        });
        store.put("keyed.op", "config", Configurations.text(1, 1, 60));
        store.put("keyed.servers", server.id, server.entry("app"));
        fleet.addGateway(store.port());
        fleet.awaitReady();
        Fleet.Gateway gateway = fleet.gateways.get(0);
        Client client = new Client(gateway.port, RECEIVE_BUFFER_BYTES, 9_000);
        fleet.note("order-1 (non_idempotent, X-Deadline-Ms 6000) sent; its answer is read at " + BYTES_PER_SECOND
                + " bytes a second all the time");
        long sentMillis = client.send("POST", "/order/1", HEADERS, Server.body(600));
        Thread terminating = new Thread(() -> terminate(fleet, gateway));
        terminating.start();
        Client.Outcome outcome = client.receiveSlowly(sentMillis, BYTES_PER_SECOND);
        terminating.join();
        fleet.note("order-1: " + outcome);
        server.runs.forEach(run -> fleet.note("server ran " + run.id()));
        boolean whole = outcome.served() && Arrays.equals(outcome.answer().body(), Server.body(ANSWER_BYTES));
        boolean inTime = outcome.endedMillis() - sentMillis < 6_000;
        if (!whole && !inTime) {
            fleet.finish(Fleet.NOT_RUN, "the deadline passed");
        }
        fleet.finish(
                whole ? Fleet.HELD : Fleet.BROKEN,
                whole ? "LOST held" : "LOST broken: order-1 ran, and its connection ended without a complete answer");
    }

    private static void terminate(Fleet fleet, Fleet.Gateway gateway) {
        try {
            Thread.sleep(TERM_AFTER_MILLIS);
            if (Fleet.trouble()) {
                fleet.signal(gateway, "TERM");
            }
        } catch (Exception failed) {
            throw new IllegalStateException(failed);
        }
    }
}
