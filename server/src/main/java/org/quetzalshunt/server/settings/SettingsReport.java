package org.quetzalshunt.server.settings;

import java.io.PrintWriter;
import java.util.List;
import java.util.Set;
import org.quetzalshunt.core.result.ResultCode;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;

/** Prints settings with their origin, and invalid settings with their error code. */
final class SettingsReport {
    static final int EXIT_INVALID_SETTING = 2;
    private static final Set<String> SECRETS = Set.of(ProcessOptions.SECRET_FLAG);
    private static final Set<String> COMMAND_FLAGS = Set.of("--help", "--version", "--print-settings");

    private SettingsReport() {}

    static void print(CommandSpec spec) {
        PrintWriter out = spec.commandLine().getOut();
        for (OptionSpec option : spec.options()) {
            if (COMMAND_FLAGS.contains(option.longestName())) {
                continue;
            }
            Object value = option.getValue();
            String shown = SECRETS.contains(option.longestName()) && value != null ? "***" : String.valueOf(value);
            out.printf("%-24s %-28s %s%n", option.longestName(), shown, origin(spec, option));
        }
        out.flush();
    }

    private static String origin(CommandSpec spec, OptionSpec option) {
        CommandLine.ParseResult parsed = spec.commandLine().getParseResult();
        if (parsed != null && parsed.hasMatchedOption(option)) {
            return "flag";
        }
        String variable = "QUETZALSHUNT_"
                + option.longestName().substring(2).replace('-', '_').toUpperCase(java.util.Locale.ROOT);
        return System.getenv(variable) != null ? "$" + variable : "default";
    }

    /** Prints every problem and returns the exit code. */
    static int printProblems(CommandSpec spec, List<SettingProblem> problems) {
        PrintWriter error = spec.commandLine().getErr();
        for (SettingProblem problem : problems) {
            error.printf(
                    "%d %s: %s: expected %s%n",
                    ResultCode.INVALID_SETTING.number(),
                    ResultCode.INVALID_SETTING.meaning(),
                    problem.flag(),
                    problem.expected());
        }
        error.flush();
        return EXIT_INVALID_SETTING;
    }
}
