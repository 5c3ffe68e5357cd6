package org.quetzalshunt.app.bench;

import picocli.CommandLine.Command;

/** Groups the measurements. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures parts of the system without a cluster.",
        subcommands = {DecisionsCommand.class})
public final class BenchCommand {}
