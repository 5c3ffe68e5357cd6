package org.quetzalshunt.app.deployment;

import java.util.List;
import org.quetzalshunt.standin.engine.EngineSettings;
import org.quetzalshunt.standin.platform.PlatformSettings;
import org.quetzalshunt.standin.service.ServiceSettings;

/**
 * Number, placement and settings of the processes that a {@link Deployment} starts.
 *
 * @param entries number of entries
 * @param engines number of model engines, each with its sidecar
 * @param plainServices number of plain services, each with its sidecar
 * @param dataCentres data centres to which VMs are assigned round-robin
 * @param platform settings of the platform's stand-in
 * @param engine settings of each engine's stand-in
 * @param service settings of each plain service's stand-in
 * @param requestsPerSecond request rate limit of each client account
 * @param burst burst size of each client account's rate limit
 * @param stopMillis maximum duration of the planned stop of an entry
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
        double burst,
        long stopMillis) {

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
                400,
                20_000);
    }

    /** Returns a copy with other numbers of VMs. */
    public DeploymentPlan withVms(int entryCount, int engineCount, int plainCount) {
        return new DeploymentPlan(
                entryCount,
                engineCount,
                plainCount,
                dataCentres,
                platform,
                engine,
                service,
                requestsPerSecond,
                burst,
                stopMillis);
    }

    /** Returns a copy with other settings of the engines' stand-ins. */
    public DeploymentPlan withEngine(EngineSettings value) {
        return new DeploymentPlan(
                entries,
                engines,
                plainServices,
                dataCentres,
                platform,
                value,
                service,
                requestsPerSecond,
                burst,
                stopMillis);
    }

    /** Returns a copy with other settings of the platform's stand-in. */
    public DeploymentPlan withPlatform(PlatformSettings value) {
        return new DeploymentPlan(
                entries,
                engines,
                plainServices,
                dataCentres,
                value,
                engine,
                service,
                requestsPerSecond,
                burst,
                stopMillis);
    }

    /** Returns a copy with another rate limit and burst size of each account. */
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
                newBurst,
                stopMillis);
    }

    /** Returns a copy with another maximum duration of the planned stop of an entry. */
    public DeploymentPlan withStopMillis(long value) {
        return new DeploymentPlan(
                entries,
                engines,
                plainServices,
                dataCentres,
                platform,
                engine,
                service,
                requestsPerSecond,
                burst,
                value);
    }
}
