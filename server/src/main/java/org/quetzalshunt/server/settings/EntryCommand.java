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

/** {@code quetzalshunt entry}: takes callers' and operators' requests. */
@Command(
        name = "entry",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Takes callers' and operators' HTTP, owns programs, and decides what runs where.")
public final class EntryCommand implements Callable<Integer> {
    private static final int MOST_SHARDS = 1_024;

    @Spec
    private CommandSpec spec;

    @Mixin
    private ProcessOptions process;

    @Option(
            names = "--shards",
            defaultValue = "${env:QUETZALSHUNT_SHARDS:-16}",
            description = "shards of programs, equal at all entries and for ever ($QUETZALSHUNT_SHARDS, default: 16)")
    private int shards;

    @Option(
            names = "--commit-millis",
            defaultValue = "${env:QUETZALSHUNT_COMMIT_MILLIS:-50}",
            description = "time for which a shard's records are gathered into one append ($QUETZALSHUNT_COMMIT_MILLIS,"
                    + " default: 50)")
    private long commitMillis;

    @Option(
            names = "--operator-keys",
            defaultValue = "${env:QUETZALSHUNT_OPERATOR_KEYS:-}",
            description = "operators' keys as team=SHA256 pairs with commas between ($QUETZALSHUNT_OPERATOR_KEYS)")
    private String operatorKeys;

    /** Made by picocli. */
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
                checks.ipNumber("--host", process.host),
                checks.port("--http-port", process.httpPort),
                checks.port("--link-port", process.linkPort),
                platform.orElse(null),
                checks.secret(ProcessOptions.SECRET_FLAG, process.secret).getBytes(StandardCharsets.UTF_8),
                (int) checks.range("--shards", shards, 1, MOST_SHARDS),
                checks.range("--commit-millis", commitMillis, 1, 10_000),
                teams,
                checks.range("--stop-millis", process.stopMillis, 0, 600_000));
        if (!checks.problems().isEmpty()) {
            return SettingsReport.tell(spec, checks.problems());
        }
        EntryProcess entry = EntryProcess.start(settings);
        return Lifecycle.run(entry.httpPort(), entry.linkPort(), settings.stopMillis(), entry::stop);
    }
}
