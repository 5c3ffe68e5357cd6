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

/** Main class of the binary: the command line with its subcommands. */
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
        line.setParameterExceptionHandler(Main::reportInvalidArguments);
        System.exit(line.execute(arguments));
    }

    /** Reports invalid command-line arguments with a numbered result code, like invalid setting values. */
    private static int reportInvalidArguments(CommandLine.ParameterException exception, String[] arguments) {
        PrintWriter error = exception.getCommandLine().getErr();
        error.printf(
                "%d %s: %s%n",
                ResultCode.INVALID_SETTING.number(), ResultCode.INVALID_SETTING.meaning(), exception.getMessage());
        error.printf(
                "See: %s --help%n", exception.getCommandLine().getCommandSpec().qualifiedName());
        error.flush();
        return CommandLine.ExitCode.USAGE;
    }
}
