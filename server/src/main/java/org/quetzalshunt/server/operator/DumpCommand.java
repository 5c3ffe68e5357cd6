package org.quetzalshunt.server.operator;

import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** {@code quetzalshunt dump}: prints the internal state of one entry as JSON. */
@Command(
        name = "dump",
        mixinStandardHelpOptions = true,
        description = "Prints the state of the entry at --url: shards, streams, VMs, queues, limits, programs.")
public final class DumpCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Mixin
    private AdminOptions admin;

    /** Instantiated by picocli. */
    public DumpCommand() {}

    @Override
    public Integer call() {
        return AdminOptions.print(
                admin.client().send("GET", "dump", Optional.empty(), ""),
                spec.commandLine().getOut(),
                spec.commandLine().getErr());
    }
}
