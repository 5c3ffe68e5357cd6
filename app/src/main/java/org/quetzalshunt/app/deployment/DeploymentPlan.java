package org.quetzalshunt.app.deployment;

import java.util.List;
import org.quetzalshunt.standin.engine.EngineSettings;
import org.quetzalshunt.standin.platform.PlatformSettings;
import org.quetzalshunt.standin.service.ServiceSettings;

/**
 * What to start.
 *
 * @param entries number of entries
 * @param engines number of model engines, each with its sidecar
 * @param plainServices number of plain services, each with its sidecar
 * @param dataCentres names over which VMs are spread in turn
 * @param platform settings of the platform's stand-in
 * @param engine settings of each engine's stand-in
 * @param service settings of each plain service's stand-in
 * @param requestsPerSecond rate of each client account
 * @param burst burst of each client account
 */
public record DeploymentPlan(
        int entries,
        int engines,
        int plainServices,
        List<String> dataCentres,
        PlatformSettings platform,
        EngineSettings engine,
        ServiceSettings service,
        double requestsPerSecond,
        double burst) {

    /** Three entries, four engines and two plain services in two data centres. */
    public static DeploymentPlan demo() {
        return new DeploymentPlan(
                3,
                4,
                2,
                List.of("arusha-a", "moshi-a"),
                PlatformSettings.defaults().withVmListLagMillis(200),
                EngineSettings.defaults(),
                ServiceSettings.defaults(),
                200,
                400);
    }

    /** The same with other numbers of VMs. */
    public DeploymentPlan withVms(int entryCount, int engineCount, int plainCount) {
        return new DeploymentPlan(
                entryCount, engineCount, plainCount, dataCentres, platform, engine, service, requestsPerSecond, burst);
    }

    /** The same with other engines. */
    public DeploymentPlan withEngine(EngineSettings value) {
        return new DeploymentPlan(
                entries, engines, plainServices, dataCentres, platform, value, service, requestsPerSecond, burst);
    }

    /** The same with another platform. */
    public DeploymentPlan withPlatform(PlatformSettings value) {
        return new DeploymentPlan(
                entries, engines, plainServices, dataCentres, value, engine, service, requestsPerSecond, burst);
    }

    /** The same with another rate and burst of each account. */
    public DeploymentPlan withRate(double newRequestsPerSecond, double newBurst) {
        return new DeploymentPlan(
                entries,
                engines,
                plainServices,
                dataCentres,
                platform,
                engine,
                service,
                newRequestsPerSecond,
                newBurst);
    }
}
