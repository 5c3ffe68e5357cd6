package org.quetzalshunt.app.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.quetzalshunt.wire.json.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code quetzalshunt load}: generates open-loop load from the programs of a {@link LoadShape} and sends it to entries
 * on loopback. No option is marked as required, because the subcommand {@code load compare} has none of them.
 */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description =
                "Runs open-loop load of whole programs against entries on loopback; prints results as one line of JSON.")
public final class LoadCommand implements Callable<Integer> {
    private static final int MAXIMUM_SECONDS = 3_600;
    private static final int MAXIMUM_PROGRAMS = 1_000_000;

    @Spec
    private CommandSpec command;

    @Option(names = "--entry", split = ",", description = "loopback addresses of entries as host:port")
    private List<String> entries = List.of();

    @Option(names = "--key", split = ",", description = "keys of client accounts as account=KEY")
    private Map<String, String> keys = Map.of();

    @Option(names = "--service", defaultValue = "", description = "name of the called service")
    private String service;

    @Option(
            names = "--shape",
            defaultValue = "mawe-kavu",
            description = "workload shape: kite-readers or mawe-kavu (default: ${DEFAULT-VALUE})")
    private String shape;

    @Option(
            names = "--seconds",
            defaultValue = "20",
            description = "time in seconds over which programs arrive (default: ${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--programs-per-second",
            defaultValue = "2",
            description = "arrival rate of programs over all accounts (default: ${DEFAULT-VALUE})")
    private double programsPerSecond;

    @Option(
            names = "--maximum-programs",
            defaultValue = "10000",
            description = "upper bound on the number of programs (default: ${DEFAULT-VALUE})")
    private int maximumPrograms;

    @Option(
            names = "--heavy-account",
            defaultValue = "",
            description = "account that sends more programs than the others")
    private String heavyAccount;

    @Option(
            names = "--heavy-factor",
            defaultValue = "5",
            description = "factor by which the heavy account sends more than another one (default: ${DEFAULT-VALUE})")
    private double heavyFactor;

    @Option(
            names = "--drain-seconds",
            defaultValue = "30",
            description = "time in seconds for programs to finish after arrivals end (default: ${DEFAULT-VALUE})")
    private int drainSeconds;

    @Option(names = "--seed", defaultValue = "1", description = "random seed of arrivals and programs")
    private long seed;

    @Option(names = "--check-answers", description = "compare answers with those of the stand-in engine")
    private boolean checkAnswers;

    @Option(names = "--json", description = "file to write the results to")
    private Path jsonFile;

    @Option(names = "--html", description = "file to write an HTML page with plots to")
    private Path htmlFile;

    /** Instantiated by picocli. */
    public LoadCommand() {}

    @Override
    public Integer call() throws IOException {
        LoadPlan plan = plan();
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ObjectNode result = LoadRun.start(plan, group.next(), System.err).join();
        group.shutdownGracefully();
        if (jsonFile != null) {
            Files.writeString(jsonFile, Json.pretty(result));
        }
        if (htmlFile != null) {
            Files.writeString(htmlFile, LoadReport.html(result));
        }
        System.out.println(result);
        return 0;
    }

    /** {@code quetzalshunt load compare A B}: compares two result files written by {@code --json}. */
    @Command(name = "compare", mixinStandardHelpOptions = true, description = "Compares two result files.")
    int compare(
            @Parameters(index = "0", paramLabel = "A", description = "first result file") Path first,
            @Parameters(index = "1", paramLabel = "B", description = "second result file") Path second)
            throws IOException {
        System.out.print(LoadComparison.text(readResult(first), readResult(second)));
        return 0;
    }

    private JsonNode readResult(Path file) throws IOException {
        return Json.parse(Files.readAllBytes(file))
                .orElseThrow(() -> invalidParameter(file + " is not a JSON result file"));
    }

    private LoadPlan plan() {
        require(!entries.isEmpty(), "--entry is missing");
        require(!keys.isEmpty(), "--key is missing");
        require(!service.isEmpty(), "--service is missing");
        require(seconds >= 1 && seconds <= MAXIMUM_SECONDS, "--seconds must be from 1 to " + MAXIMUM_SECONDS);
        require(
                drainSeconds >= 0 && drainSeconds <= MAXIMUM_SECONDS,
                "--drain-seconds must be at least 0 and at most 3600");
        require(programsPerSecond > 0, "--programs-per-second must be above 0");
        require(maximumPrograms <= MAXIMUM_PROGRAMS, "--maximum-programs must be at most " + MAXIMUM_PROGRAMS);
        require(heavyFactor > 0, "--heavy-factor must be above 0");
        require(
                heavyAccount.isEmpty() || keys.containsKey(heavyAccount),
                "--heavy-account must be one of the accounts in --key");
        Optional<LoadShape> knownShape = LoadShape.byName(shape);
        require(knownShape.isPresent(), "--shape must be kite-readers or mawe-kavu");
        return new LoadPlan(
                entries.stream().map(this::parseLoopbackAddress).toList(),
                service,
                keys,
                knownShape.orElseThrow(),
                seconds,
                programsPerSecond,
                maximumPrograms,
                heavyAccount,
                heavyFactor,
                drainSeconds,
                seed,
                checkAnswers);
    }

    private InetSocketAddress parseLoopbackAddress(String text) {
        String address = text.replaceFirst("^http://", "");
        int colon = address.lastIndexOf(':');
        require(colon > 0 && address.substring(colon + 1).matches("\\d{1,5}"), "--entry must be host:port: " + text);
        InetSocketAddress parsed =
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        require(
                !parsed.isUnresolved() && parsed.getAddress().isLoopbackAddress(),
                "--entry must be a loopback address: " + text);
        return parsed;
    }

    private void require(boolean condition, String problem) {
        if (!condition) {
            throw invalidParameter(problem);
        }
    }

    private ParameterException invalidParameter(String problem) {
        return new ParameterException(command.commandLine(), problem);
    }
}
