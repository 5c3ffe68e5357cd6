package org.quetzalshunt.app;

import java.io.IOException;
import java.util.concurrent.Callable;
import org.quetzalshunt.platform.GatewayCommand;
import org.quetzalshunt.standin.fleet.LoopbackDeployment;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * {@code quetzalshunt rehearse}: runs a gateway on loopback against stand-ins, sends it a few requests and exits. The
 * build runs it with {@code -XX:ArchiveClassesAtExit} to create a class-data archive. With the archive, a gateway is
 * ready in about half the time (0.55 s instead of 1.0 s on a free core), which shortens the outage after a crash.
 */
@Command(name = "rehearse", hidden = true, description = "Runs a gateway on loopback to create the class-data archive.")
final class RehearseCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException, InterruptedException {
        try (LoopbackDeployment deployment = LoopbackDeployment.start()) {
            String settings = deployment.settings().toString();
            Thread gateway =
                    new Thread(() -> new CommandLine(new GatewayCommand()).execute("--settings", settings), "gateway");
            gateway.setDaemon(true);
            gateway.start();
            deployment.sendRequests();
        }
        return 0;
    }
}
