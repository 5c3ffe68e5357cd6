package org.quetzalshunt.standin;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;

/** Checks the values of options before the server starts. The error message names the option. */
final class SettingCheck {
    private final CommandSpec command;

    private SettingCheck(CommandSpec command) {
        this.command = command;
    }

    static SettingCheck of(CommandSpec command) {
        return new SettingCheck(command);
    }

    SettingCheck atLeast(String flag, Number value, Number minimum) {
        if (value.doubleValue() >= minimum.doubleValue()) {
            return this;
        }
        throw new ParameterException(
                command.commandLine(), flag + " is " + value + "; expected a number of " + minimum + " or more");
    }
}
