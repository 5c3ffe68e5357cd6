package org.quetzalshunt.app.bench;

import org.quetzalshunt.app.bench.capacity.CapacityCommand;
import org.quetzalshunt.app.bench.limits.LimitsCommand;
import picocli.CommandLine.Command;

/** Parent command of the benchmarks. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures parts of the system without a cluster.",
        subcommands = {CapacityCommand.class, DecisionsCommand.class, LimitsCommand.class})
public final class BenchCommand {}
