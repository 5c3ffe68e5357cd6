package review2;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Programs that spend their token budget, are told so, and return within retention_s. One of them has a long program id,
 * within max_header_bytes. The gateway that served them is killed and starts again in between.
 */
final class LongProgram {
    private static final int BUDGET = 36;
    private static final int TURN_TOKENS = 12;
    private static final int TOKENS_PER_EVENT = 4;
    private static final int MOST_TURNS = 8;
    private static final String LONG_NAME =
            "caroni-kite-readers/tt-south/renewal-assistant/school-of-san-fernando/term-2/class-4-b/"
                    + "agent-renewal/agent-address-check/agent-back-issues/agent-librarian-records/agent-order-draft/"
                    + "agent-price-list/agent-proof-read/agent-translation/agent-summary/agent-final-check";

    /** A program and what its client has received. */
    private static final class Program {
        final String name;
        String last = "";
        int sent;
        int tokens;
        boolean toldThatSpent;

        Program(String name) {
            this.name = name;
        }
    }

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
        fleet.addGateway(store.port());
        fleet.addGateway(store.port());
        fleet.awaitReady();
        Thread.sleep(4_000);

        Fleet.Gateway gateway = fleet.gateways.get(0);
        List<Program> programs = List.of(new Program("p-short"), new Program(LONG_NAME));
        for (Program program : programs) {
            runUntilSpent(fleet, gateway, program);
            if (!program.toldThatSpent) {
                fleet.finish(Fleet.NOT_RUN, "NOT RUN: a program was not told that its budget is spent");
            }
        }
        if (Fleet.trouble()) {
            fleet.signal(gateway, "KILL");
            gateway.process.waitFor();
            Thread.sleep(500);
            fleet.start(gateway);
            fleet.awaitReady();
        }
        Thread.sleep(1_000);

        boolean broken = false;
        for (Program program : programs) {
            runUntilSpent(fleet, gateway, program);
            fleet.note("program id of " + program.name.length() + " characters: " + program.tokens
                    + " tokens handed out, budget " + BUDGET + ", the most of one turn " + TURN_TOKENS);
            broken |= program.tokens > BUDGET + TURN_TOKENS;
        }
        fleet.finish(
                broken ? Fleet.BROKEN : Fleet.HELD,
                broken
                        ? "BROKEN: BUDGET: more tokens than X-Token-Budget and the most of one turn"
                        : "HELD: no program got more tokens than its budget and the most of one turn");
    }

    private static void runUntilSpent(Fleet fleet, Fleet.Gateway gateway, Program program) throws Exception {
        for (int turn = 0; turn < MOST_TURNS; turn++) {
            String id = "t" + program.name.length() + "-" + ++program.sent;
            Client.Outcome outcome = turn(gateway, program, id);
            fleet.note("program id of " + program.name.length() + " characters, turn " + program.sent + ": " + outcome);
            if (outcome.status() == 402) {
                program.toldThatSpent = true;
                return;
            }
            if (outcome.served()) {
                program.tokens += TOKENS_PER_EVENT * events(outcome);
                program.last = id;
            } else {
                Thread.sleep(500);
            }
        }
    }

    private static int events(Client.Outcome outcome) {
        return (int) new String(outcome.answer().body(), StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith("data:"))
                .count();
    }

    private static Client.Outcome turn(Fleet.Gateway gateway, Program program, String id) throws Exception {
        String headers = "X-Request-Id: " + id + "\r\nX-Program-Id: " + program.name + "\r\nX-Session-Id: "
                + program.name + "\r\nX-Program-Deadline-Ms: 20000\r\nX-Deadline-Ms: 3000\r\nX-Token-Budget: " + BUDGET
                + "\r\nX-Token-Usage: 100," + TURN_TOKENS + "\r\nAuthorization: Bearer key-1\r\n"
                + (program.last.isEmpty() ? "" : "X-Previous-Turn: " + program.last + "\r\n");
        try (Client client = new Client(gateway.port, 0, 4_000)) {
            return client.exchange("POST", "/chat/1", headers, ("input of " + id).getBytes(StandardCharsets.UTF_8));
        }
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
