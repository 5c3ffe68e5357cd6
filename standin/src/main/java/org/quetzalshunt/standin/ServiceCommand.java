package org.quetzalshunt.standin;

import java.util.concurrent.Callable;
import org.quetzalshunt.standin.service.ServiceSettings;
import org.quetzalshunt.standin.service.ServiceStandin;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

@Command(
        name = "service",
        mixinStandardHelpOptions = true,
        description = "Plain service that answers any call with its request data and how often it ran the call.")
final class ServiceCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Mixin
    private ListenOptions listen;

    @Option(
            names = "--call-millis",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_CALL_MILLIS:-20}",
            description = "time of each call in milliseconds (default: ${DEFAULT-VALUE})")
    private long callMillis;

    @Override
    public Integer call() {
        check();
        ServiceSettings settings = new ServiceSettings(callMillis);
        return listen.serve((group, address) ->
                ServiceStandin.start(group, address, settings).port());
    }

    private void check() {
        SettingCheck.of(command).atLeast("--call-millis", callMillis, 0);
    }
}
