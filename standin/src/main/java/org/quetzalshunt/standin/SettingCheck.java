package org.quetzalshunt.standin;

import org.quetzalshunt.core.result.ResultCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;

/** Checks of settings at the start. A wrong one ends the command with exit code 2 and names the flag. */
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
                command.commandLine(),
                String.format(
                        "%d invalid setting %s: %s; expected a number from %s on",
                        ResultCode.INVALID_SETTING.number(), flag, value, minimum));
    }
}
