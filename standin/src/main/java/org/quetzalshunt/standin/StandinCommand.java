package org.quetzalshunt.standin;

import picocli.CommandLine.Command;

/** {@code quetzalshunt standin}: runs one stand-in as a separate process. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = "Runs a stand-in for the platform, a model engine or a plain service.",
        subcommands = {PlatformCommand.class, EngineCommand.class, ServiceCommand.class})
public final class StandinCommand {
    /** Called by picocli. */
    public StandinCommand() {}
}
