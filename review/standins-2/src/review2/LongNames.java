package review2;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Conversations whose request ids are long names, within max_header_bytes, beside others with short ids. The gateway
 * that answered their first turns is killed and starts again; then each conversation goes on there.
 */
final class LongNames {
    private static final int GATEWAYS = 8;
    private static final int CONVERSATIONS = 6;
    private static final int BUDGET = 10_000;
    private static final String KEY = "key-1";

    /** A path of nested agents, as long as a client with deep nesting makes it. */
    private static final String AGENTS =
            "caroni-kite-readers/tt-south/renewal-assistant/school-of-san-fernando/term-2/class-4-b/"
                    + "agent-renewal/agent-address-check/agent-back-issues/agent-librarian-records/agent-order-draft/"
                    + "agent-price-list/agent-proof-read/agent-translation/agent-summary/agent-final-check";

    private static final long RETENTION_MILLIS = 60_000;

    private record Conversation(String name, String firstTurn, boolean isLong, long answeredMillis) {}

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(Path.of(arguments[0]));
        Store store = new Store();
        store.put("keyed.op", "config", Configurations.plain(1));
        List<Server> engines = new ArrayList<>();
        for (int number = 1; number <= 2; number++) {
            Server engine = new Server("i-llm-" + number, 8, new QuickWork());
            engines.add(engine);
            store.put("keyed.servers", engine.id, engine.entry("llm"));
        }
        for (int number = 0; number < GATEWAYS; number++) {
            fleet.addGateway(store.port());
        }
        fleet.awaitReady();
        Thread.sleep(4_000);

        Fleet.Gateway gateway = fleet.gateways.get(0);
        List<Conversation> conversations = new ArrayList<>();
        for (int number = 0; number < CONVERSATIONS; number++) {
            boolean isLong = number % 2 == 0;
            String name = (isLong ? AGENTS + "/" : "c-") + number;
            String firstTurn = name + "/turn-1";
            Client.Outcome first = turn(gateway, name, firstTurn, "");
            fleet.note("turn 1 of conversation " + number + ", request id of " + firstTurn.length() + " characters: "
                    + first);
            if (!first.served()) {
                fleet.finish(Fleet.NOT_RUN, "NOT RUN: a first turn was not served");
            }
            conversations.add(new Conversation(name, firstTurn, isLong, first.endedMillis()));
        }
        if (Fleet.trouble()) {
            fleet.signal(gateway, "KILL");
            gateway.process.waitFor();
            Thread.sleep(500);
            fleet.start(gateway);
            fleet.awaitReady();
        }
        Thread.sleep(1_000);

        int lost = 0;
        for (Conversation conversation : conversations) {
            String id = conversation.name() + "/turn-2";
            Client.Outcome next = turn(gateway, conversation.name(), id, conversation.firstTurn());
            for (int attempt = 2; next.status() == 503 && attempt <= 6; attempt++) {
                Thread.sleep(500);
                next = turn(gateway, conversation.name(), id + "-attempt-" + attempt, conversation.firstTurn());
            }
            long ageMillis = next.endedMillis() - conversation.answeredMillis();
            fleet.note("turn 2 of the conversation with " + (conversation.isLong() ? "long" : "short") + " ids, answered "
                    + ageMillis + " ms after turn 1 was answered whole: " + next);
            boolean unknown = next.status() == 404 || next.status() == 410;
            lost += unknown && ageMillis < RETENTION_MILLIS ? 1 : 0;
        }
        boolean broken = lost > 0;
        fleet.finish(
                broken ? Fleet.BROKEN : Fleet.HELD,
                broken
                        ? "BROKEN: LOST: " + lost + " turns were answered 404 although the turn before was answered"
                                + " whole less than retention_s (60 s) ago"
                        : "HELD: every conversation went on");
    }

    private static Client.Outcome turn(Fleet.Gateway gateway, String name, String id, String previous)
            throws Exception {
        String headers = "X-Request-Id: " + id + "\r\nX-Program-Id: " + shortName(name) + "\r\nX-Session-Id: "
                + shortName(name) + "\r\nX-Program-Deadline-Ms: 20000\r\nX-Deadline-Ms: 3000\r\nX-Token-Budget: "
                + BUDGET + "\r\nX-Token-Usage: 100,12\r\nAuthorization: Bearer " + KEY + "\r\n"
                + (previous.isEmpty() ? "" : "X-Previous-Turn: " + previous + "\r\n");
        try (Client client = new Client(gateway.port, 0, 4_000)) {
            return client.exchange("POST", "/chat/1", headers, ("input of " + id).getBytes(StandardCharsets.UTF_8));
        }
    }

    private static String shortName(String name) {
        return "p-" + Integer.toHexString(name.hashCode());
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
