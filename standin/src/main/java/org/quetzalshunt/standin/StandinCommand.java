package org.quetzalshunt.standin;

import picocli.CommandLine.Command;

/** {@code quetzalshunt standin}: one stand-in as a process of its own. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = "Runs a stand-in of the platform, of a model engine or of a plain service.",
        subcommands = {PlatformCommand.class, EngineCommand.class, ServiceCommand.class})
public final class StandinCommand {
    /** Made by picocli. */
    public StandinCommand() {}
}
