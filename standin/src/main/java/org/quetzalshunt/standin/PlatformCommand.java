package org.quetzalshunt.standin;

import java.util.Set;
import java.util.concurrent.Callable;
import org.quetzalshunt.standin.platform.PlatformSettings;
import org.quetzalshunt.standin.platform.PlatformStandin;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

@Command(
        name = "platform",
        mixinStandardHelpOptions = true,
        description = "Log service, VM list and weight store, in memory.")
final class PlatformCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Mixin
    private ListenOptions listen;

    @Option(
            names = "--appends-per-second",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_APPENDS_PER_SECOND:-400}",
            description = "limit on appends per second of all streams together (default: ${DEFAULT-VALUE})")
    private int appendsPerSecond;

    @Option(
            names = "--retention-millis",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_RETENTION_MILLIS:-600000}",
            description = "age in milliseconds at which records are dropped (default: ${DEFAULT-VALUE})")
    private long retentionMillis;

    @Option(
            names = "--vm-list-lag-millis",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_VM_LIST_LAG_MILLIS:-1000}",
            description = "time in milliseconds until a change is visible in the VM list (default: ${DEFAULT-VALUE})")
    private long vmListLagMillis;

    @Option(
            names = "--weight-load-millis",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_WEIGHT_LOAD_MILLIS:-500}",
            description = "time in milliseconds of one load from the weight store (default: ${DEFAULT-VALUE})")
    private long weightLoadMillis;

    @Option(
            names = "--weight-loads-per-second",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_WEIGHT_LOADS_PER_SECOND:-2}",
            description = "limit on loads per second from the weight store (default: ${DEFAULT-VALUE})")
    private double weightLoadsPerSecond;

    @Option(
            names = "--missing-weights",
            split = ",",
            description = "versions that are absent from the weight store, as model/version")
    private Set<String> missingWeights = Set.of();

    @Override
    public Integer call() {
        check();
        PlatformSettings settings = new PlatformSettings(
                appendsPerSecond,
                retentionMillis,
                vmListLagMillis,
                weightLoadMillis,
                weightLoadsPerSecond,
                missingWeights);
        return listen.serve((group, address) ->
                PlatformStandin.start(group, address, settings).port());
    }

    private void check() {
        SettingCheck.of(command)
                .atLeast("--appends-per-second", appendsPerSecond, 1)
                .atLeast("--retention-millis", retentionMillis, 1)
                .atLeast("--vm-list-lag-millis", vmListLagMillis, 0)
                .atLeast("--weight-load-millis", weightLoadMillis, 0)
                .atLeast("--weight-loads-per-second", weightLoadsPerSecond, 0.001);
    }
}
