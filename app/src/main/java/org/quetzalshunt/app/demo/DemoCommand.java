package org.quetzalshunt.app.demo;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import org.quetzalshunt.app.deployment.ApiClient;
import org.quetzalshunt.app.deployment.Deployment;
import org.quetzalshunt.app.deployment.DeploymentPlan;
import org.quetzalshunt.wire.json.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code quetzalshunt demo}: runs a deployment on loopback, injects failures and prints a table of the results. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Starts a whole deployment on loopback, runs agent programs with injected failures, prints results.")
public final class DemoCommand implements Callable<Integer> {
    private static final int EXIT_GUARANTEE_VIOLATED = 1;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int MAXIMUM_SERVE_SECONDS = 3_600;

    @Spec
    private CommandSpec spec;

    @Option(names = "--json", description = "print the result as one JSON object on the last line")
    private boolean json;

    @Option(
            names = "--serve",
            paramLabel = "SECONDS",
            description = "only start the deployment, and stop it after this time")
    private int serveSeconds;

    /** Instantiated by picocli. */
    public DemoCommand() {}

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter error = spec.commandLine().getErr();
        long startMillis = System.currentTimeMillis();
        printProgress(error, "starting 3 entries, 4 engines and 2 plain services on loopback");
        try (Deployment deployment = Deployment.start(DeploymentPlan.demo())) {
            if (serveSeconds > 0) {
                return serve(deployment, out);
            }
            printProgress(error, "ready; running 24 programs");
            DemoTally tally = new DemoRun(deployment, line -> printProgress(error, line)).run();
            out.println("quetzalshunt demo, " + (System.currentTimeMillis() - startMillis) / MILLIS_PER_SECOND + " s");
            out.print(tally.table());
            out.println(tally.allGuaranteesHeld() ? "all guarantees held" : "A GUARANTEE WAS VIOLATED");
            if (json) {
                out.println(tally.toJson());
            }
            out.flush();
            return tally.allGuaranteesHeld() ? 0 : EXIT_GUARANTEE_VIOLATED;
        }
    }

    private int serve(Deployment deployment, PrintWriter out) {
        ObjectNode node = Json.object();
        ArrayNode entries = node.putArray("entries");
        deployment.entryUrls().forEach(entries::add);
        ObjectNode sidecars = node.putObject("sidecars");
        deployment.sidecarUrls().forEach(sidecars::put);
        ArrayNode services = node.putArray("services");
        services.addObject().put("name", Deployment.CHAT_SERVICE).put("kind", "engine");
        services.addObject().put("name", Deployment.PLAIN_SERVICE).put("kind", "plain");
        ObjectNode keys = node.putObject("callerKeys");
        deployment.keys().callerKeys().forEach(keys::put);
        node.put("operatorKey", deployment.keys().operatorKey());
        ObjectNode standins = node.putObject("standins");
        deployment.standinUrls().forEach(standins::put);
        node.put("pid", ProcessHandle.current().pid());
        out.println(node);
        out.flush();
        ApiClient.pause(Math.min(serveSeconds, MAXIMUM_SERVE_SECONDS) * MILLIS_PER_SECOND);
        return 0;
    }

    private static void printProgress(PrintWriter error, String line) {
        error.println("demo: " + line);
        error.flush();
    }
}
