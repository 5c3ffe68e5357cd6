package org.quetzalshunt.standin;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;

/** Checks of settings at the start. A wrong one is refused by name of its flag before anything starts. */
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
                command.commandLine(), flag + " is " + value + "; expected a number from " + minimum + " on");
    }
}
