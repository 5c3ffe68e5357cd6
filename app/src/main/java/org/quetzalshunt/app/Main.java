package org.quetzalshunt.app;

import java.io.PrintWriter;
import org.quetzalshunt.app.bench.BenchCommand;
import org.quetzalshunt.app.demo.DemoCommand;
import org.quetzalshunt.app.explain.ExplainCommand;
import org.quetzalshunt.app.load.LoadCommand;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.platform.GatewayCommand;
import org.quetzalshunt.server.operator.ConfigCommand;
import org.quetzalshunt.server.operator.DumpCommand;
import org.quetzalshunt.server.settings.EntryCommand;
import org.quetzalshunt.server.settings.SidecarCommand;
import org.quetzalshunt.standin.StandinCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the binary. */
@Command(
        name = "quetzalshunt",
        mixinStandardHelpOptions = true,
        version = "quetzalshunt 0.1.0",
        description = "A scheduler for agent programs.",
        subcommands = {
            ConfigCommand.class,
            DumpCommand.class,
            DemoCommand.class,
            EntryCommand.class,
            SidecarCommand.class,
            GatewayCommand.class,
            ExplainCommand.class,
            RehearseCommand.class,
            StandinCommand.class,
            BenchCommand.class,
            LoadCommand.class
        })
public final class Main {
    private Main() {}

    /** Runs a subcommand; exits with its code. */
    public static void main(String[] arguments) {
        CommandLine line = new CommandLine(new Main());
        line.setParameterExceptionHandler(Main::wrongArguments);
        System.exit(line.execute(arguments));
    }

    /** A wrong flag or a missing setting is told with its number, like a wrong value. */
    private static int wrongArguments(CommandLine.ParameterException problem, String[] arguments) {
        PrintWriter error = problem.getCommandLine().getErr();
        error.printf(
                "%d %s: %s%n",
                ResultCode.INVALID_SETTING.number(), ResultCode.INVALID_SETTING.meaning(), problem.getMessage());
        error.printf(
                "See: %s --help%n", problem.getCommandLine().getCommandSpec().qualifiedName());
        error.flush();
        return CommandLine.ExitCode.USAGE;
    }
}
