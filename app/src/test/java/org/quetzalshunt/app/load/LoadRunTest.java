package org.quetzalshunt.app.load;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.app.deployment.Deployment;
import org.quetzalshunt.app.deployment.DeploymentPlan;
import org.quetzalshunt.standin.engine.BatchSettings;
import org.quetzalshunt.standin.engine.EngineSettings;
import picocli.CommandLine;

@Timeout(60)
final class LoadRunTest {
    private static final PrintStream SILENT =
            new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8);

    @Test
    void everyProgramFinishesWithCorrectAnswersOnIdleDeployment() {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        DeploymentPlan quick =
                DeploymentPlan.demo().withEngine(EngineSettings.defaults().withBatch(BatchSettings.quick()));
        try (Deployment deployment = Deployment.start(quick.withVms(2, 2, 0))) {
            List<InetSocketAddress> entries = deployment.entryUrls().stream()
                    .map(URI::create)
                    .map(uri -> new InetSocketAddress(uri.getHost(), uri.getPort()))
                    .toList();
            LoadPlan plan = plan(entries, deployment.keys().callerKeys(), 2);
            ObjectNode result = LoadRun.start(plan, group.next(), SILENT).join();
            assertThat(result.at("/all/started").asInt()).isGreaterThan(0);
            assertThat(result.at("/all/finished").asInt())
                    .isEqualTo(result.at("/all/started").asInt());
            assertThat(result.at("/all/wrongAnswers").asInt()).isEqualTo(0);
            assertThat(LoadReport.html(result)).contains("<polyline");
            assertThat(LoadComparison.text(result, result)).contains("1.00");
        } finally {
            group.shutdownGracefully();
        }
    }

    @Test
    void heavyAccountHasItsShareAndEqualSeedsDrawEqualArrivals() {
        LoadPlan plan = plan(List.of(), Map.of("a", "", "b", "", "c", ""), 500);
        List<Arrival> arrivals = Arrival.draw(plan);
        assertThat(arrivals).isEqualTo(Arrival.draw(plan));
        Map<String, Long> counts =
                arrivals.stream().collect(Collectors.groupingBy(Arrival::account, Collectors.counting()));
        assertThat(counts.get("a") / (double) counts.get("b")).isWithin(1.5).of(5);
    }

    @ParameterizedTest
    @ValueSource(strings = {"192.0.2.1:80", "10.0.0.1:8080", "loopback"})
    void entryThatIsNoLoopbackAddressIsRejected(String entry) {
        CommandLine line = new CommandLine(new LoadCommand())
                .setErr(new java.io.PrintWriter(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
        assertThat(line.execute("--entry", entry, "--key", "a=k", "--service", "s"))
                .isEqualTo(CommandLine.ExitCode.USAGE);
    }

    private static LoadPlan plan(List<InetSocketAddress> entries, Map<String, String> keys, int seconds) {
        String heavy = keys.keySet().stream().sorted().findFirst().orElseThrow();
        LoadShape shape = LoadShape.byName("kite-readers").orElseThrow();
        return new LoadPlan(entries, Deployment.CHAT_SERVICE, keys, shape, seconds, 5, 10_000, heavy, 5, 20, 7, true);
    }
}
