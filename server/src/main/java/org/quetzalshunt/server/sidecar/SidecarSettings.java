package org.quetzalshunt.server.sidecar;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.quetzalshunt.core.attempt.GateSettings;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.vm.VmId;

/**
 * Validated settings of a sidecar.
 *
 * @param id name and incarnation of this VM
 * @param dataCentre data centre of this VM
 * @param bindHost IP address to listen on
 * @param linkPort port for links of entries; 0 for any free port
 * @param httpPort port for health checks and dumps; 0 for any free port
 * @param service name of the service that the endpoint belongs to
 * @param kind kind of the endpoint
 * @param endpoint address of the endpoint
 * @param platform address of the platform, whose weight store is asked before each load; if empty, weights count as
 *     available
 * @param secret the deployment's shared secret
 * @param times intervals and time limits
 */
public record SidecarSettings(
        VmId id,
        String dataCentre,
        String bindHost,
        int linkPort,
        int httpPort,
        String service,
        ServiceKind kind,
        InetSocketAddress endpoint,
        Optional<InetSocketAddress> platform,
        byte[] secret,
        SidecarTimes times) {
    /** Settings with the default times. */
    public static SidecarSettings of(
            VmId id,
            String dataCentre,
            String bindHost,
            int linkPort,
            int httpPort,
            String service,
            ServiceKind kind,
            InetSocketAddress endpoint,
            Optional<InetSocketAddress> platform,
            byte[] secret) {
        return new SidecarSettings(
                id,
                dataCentre,
                bindHost,
                linkPort,
                httpPort,
                service,
                kind,
                endpoint,
                platform,
                secret.clone(),
                SidecarTimes.defaults());
    }

    /** A copy with other times. */
    public SidecarSettings withTimes(SidecarTimes other) {
        return new SidecarSettings(
                id, dataCentre, bindHost, linkPort, httpPort, service, kind, endpoint, platform, secret, other);
    }

    GateSettings gateSettings() {
        return new GateSettings(
                kind, times.graceMillis(), GateSettings.DEFAULT_MAXIMUM_RUNNING, times.cacheLeaseMillis());
    }
}
