package org.quetzalshunt.app;

import org.quetzalshunt.standin.StandinCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the binary. */
@Command(
        name = "quetzalshunt",
        mixinStandardHelpOptions = true,
        version = "quetzalshunt 0.1.0",
        description = "A scheduler for agent programs.",
        subcommands = {StandinCommand.class})
public final class Main {
    private Main() {}

    /** Runs a subcommand; exits with its code. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new Main()).execute(arguments));
    }
}
