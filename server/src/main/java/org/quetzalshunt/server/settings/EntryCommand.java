package org.quetzalshunt.server.settings;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.quetzalshunt.server.entry.EntryProcess;
import org.quetzalshunt.server.entry.EntrySettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code quetzalshunt entry}: runs an entry, which serves the HTTP APIs of callers and operators. */
@Command(
        name = "entry",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Serves callers' and operators' HTTP APIs, owns programs, and schedules requests on endpoints.")
public final class EntryCommand implements Callable<Integer> {
    private static final int MAXIMUM_SHARDS = 1_024;

    @Spec
    private CommandSpec spec;

    @Mixin
    private ProcessOptions process;

    @Option(
            names = "--shards",
            defaultValue = "${env:QUETZALSHUNT_SHARDS:-16}",
            description =
                    "number of program shards, fixed and equal at all entries ($QUETZALSHUNT_SHARDS, default: 16)")
    private int shards;

    @Option(
            names = "--commit-millis",
            defaultValue = "${env:QUETZALSHUNT_COMMIT_MILLIS:-50}",
            description =
                    "time for which the records of a shard are collected into one append ($QUETZALSHUNT_COMMIT_MILLIS,"
                            + " default: 50)")
    private long commitMillis;

    @Option(
            names = "--operator-keys",
            defaultValue = "${env:QUETZALSHUNT_OPERATOR_KEYS:-}",
            description = "keys of operators as comma-separated team=SHA256 pairs ($QUETZALSHUNT_OPERATOR_KEYS)")
    private String operatorKeys;

    /** Instantiated by picocli. */
    public EntryCommand() {}

    @Override
    public Integer call() {
        if (process.printSettings) {
            SettingsReport.print(spec);
            return 0;
        }
        SettingChecks checks = new SettingChecks();
        Optional<InetSocketAddress> platform = checks.address("--platform", process.platform);
        Map<String, String> teams = checks.operatorKeys("--operator-keys", operatorKeys);
        EntrySettings settings = new EntrySettings(
                checks.name("--vm", process.vm),
                System.currentTimeMillis(),
                checks.name("--data-centre", process.dataCentre),
                checks.ipAddress("--host", process.host),
                checks.port("--http-port", process.httpPort),
                checks.port("--link-port", process.linkPort),
                platform.orElse(null),
                checks.secret(ProcessOptions.SECRET_FLAG, process.secret).getBytes(StandardCharsets.UTF_8),
                (int) checks.range("--shards", shards, 1, MAXIMUM_SHARDS),
                checks.range("--commit-millis", commitMillis, 1, 10_000),
                teams,
                checks.range("--stop-millis", process.stopMillis, 0, 600_000));
        if (!checks.problems().isEmpty()) {
            return SettingsReport.printProblems(spec, checks.problems());
        }
        EntryProcess entry = EntryProcess.start(settings);
        return Lifecycle.run(entry.httpPort(), entry.linkPort(), settings.stopMillis(), entry::stop);
    }
}
