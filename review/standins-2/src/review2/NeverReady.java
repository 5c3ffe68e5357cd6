package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A gateway starts while more servers are registered than one page of the store's answer holds, and its connections to
 * the store are reset once, as it asks for the second page.
 */
final class NeverReady {
    private static final int SERVERS = 505;
    private static final long WATCH_MILLIS = 40_000;
    private static final String SECOND_PAGE = "GET /log-newest?topic=keyed.servers&part=0&after=";

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(Path.of(arguments[0]));
        Store store = new Store();
        store.put("keyed.op", "config", Configurations.plain(1));
        List<Server> servers = new ArrayList<>();
        for (int number = 1; number <= SERVERS; number++) {
            Server server = new Server("i-llm-%03d".formatted(number), 8, new QuickWork());
            servers.add(server);
            store.put("keyed.servers", server.id, server.entry("llm"));
        }
        CutProxy proxy = new CutProxy(store.port(), SECOND_PAGE);
        if (Fleet.trouble()) {
            proxy.arm();
        }
        fleet.addGateway(proxy.port());
        long startMillis = System.currentTimeMillis();
        while (System.currentTimeMillis() < startMillis + WATCH_MILLIS && !fleet.allReady()) {
            Thread.sleep(100);
        }
        boolean ready = fleet.allReady();
        if (proxy.cutMillis() > 0) {
            fleet.note("the connections were reset " + (proxy.cutMillis() - startMillis) + " ms after the start");
        }
        fleet.finish(
                ready ? Fleet.HELD : Fleet.BROKEN,
                (ready ? "ready " : "NOT READY ") + (System.currentTimeMillis() - startMillis) + " ms after the start");
    }

    private static final class QuickWork implements Server.Work {
        @Override
        public long millis(Http.Message request) {
            return 30;
        }

        @Override
        public int answerBytes(Http.Message request) {
            return 800;
        }
    }
}
