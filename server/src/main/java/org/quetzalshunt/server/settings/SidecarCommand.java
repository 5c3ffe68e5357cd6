package org.quetzalshunt.server.settings;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.server.sidecar.SidecarProcess;
import org.quetzalshunt.server.sidecar.SidecarSettings;
import org.quetzalshunt.server.sidecar.SidecarTimes;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code quetzalshunt sidecar}: runs the sidecar of one endpoint, through which all requests to it pass. */
@Command(
        name = "sidecar",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Runs beside one endpoint and executes the attempts that entries send to it.")
public final class SidecarCommand implements Callable<Integer> {
    /** Part of the planned stop that remains after the drain to report the attempts cut at its end. */
    private static final long FINAL_FRAMES_MILLIS = 1_000;

    @Spec
    private CommandSpec spec;

    @Mixin
    private ProcessOptions process;

    @Option(
            names = "--service",
            required = true,
            defaultValue = "${env:QUETZALSHUNT_SERVICE}",
            description = "service that the endpoint belongs to ($QUETZALSHUNT_SERVICE)")
    private String service;

    @Option(
            names = "--kind",
            defaultValue = "${env:QUETZALSHUNT_KIND:-engine}",
            description = "kind of the endpoint: engine or plain ($QUETZALSHUNT_KIND, default: engine)")
    private String kind;

    @Option(
            names = "--endpoint",
            required = true,
            defaultValue = "${env:QUETZALSHUNT_ENDPOINT}",
            description = "address of the endpoint, as IP:port ($QUETZALSHUNT_ENDPOINT)")
    private String endpoint;

    /** Instantiated by picocli. */
    public SidecarCommand() {}

    @Override
    public Integer call() {
        if (process.printSettings) {
            SettingsReport.print(spec);
            return 0;
        }
        SettingChecks checks = new SettingChecks();
        Optional<InetSocketAddress> platform = checks.address("--platform", process.platform);
        Optional<InetSocketAddress> address = checks.address("--endpoint", endpoint);
        if (!kind.equals("engine") && !kind.equals("plain")) {
            checks.problems().add(new SettingProblem("--kind", "engine or plain"));
        }
        SidecarSettings settings = SidecarSettings.of(
                VmId.of(checks.name("--vm", process.vm), System.currentTimeMillis()),
                checks.name("--data-centre", process.dataCentre),
                checks.ipAddress("--host", process.host),
                checks.port("--link-port", process.linkPort),
                checks.port("--http-port", process.httpPort),
                checks.name("--service", service),
                kind.equals("plain") ? ServiceKind.PLAIN : ServiceKind.ENGINE,
                address.orElse(null),
                platform,
                checks.secret(ProcessOptions.SECRET_FLAG, process.secret).getBytes(StandardCharsets.UTF_8));
        if (!checks.problems().isEmpty()) {
            return SettingsReport.printProblems(spec, checks.problems());
        }
        long drainMillis = Math.max(0, process.stopMillis - FINAL_FRAMES_MILLIS);
        SidecarProcess sidecar =
                SidecarProcess.start(settings.withTimes(SidecarTimes.defaults().withDrainMillis(drainMillis)));
        return Lifecycle.run(sidecar.httpPort(), sidecar.linkPort(), process.stopMillis, sidecar::stop);
    }
}
