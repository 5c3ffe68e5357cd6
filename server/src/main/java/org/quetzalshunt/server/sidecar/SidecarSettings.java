package org.quetzalshunt.server.sidecar;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.quetzalshunt.core.attempt.GateSettings;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.vm.VmId;

/**
 * Checked settings of a sidecar.
 *
 * @param id name and incarnation of this VM
 * @param dataCentre where it is
 * @param bindHost IP number to listen on
 * @param linkPort port for links of entries; 0 for any
 * @param httpPort port for health and dumps; 0 for any
 * @param service name of the service that the endpoint belongs to
 * @param kind what the endpoint is
 * @param endpoint where the endpoint listens
 * @param platform where the platform listens, whose weight store is asked before each load; without it, it is not
 * @param secret the deployment's shared secret
 * @param times intervals and bounds
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
    /** Joins checked values, with the default times. */
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

    /** The same with other times. */
    public SidecarSettings withTimes(SidecarTimes other) {
        return new SidecarSettings(
                id, dataCentre, bindHost, linkPort, httpPort, service, kind, endpoint, platform, secret, other);
    }

    GateSettings gateSettings() {
        return new GateSettings(
                kind, times.graceMillis(), GateSettings.DEFAULT_MAXIMUM_RUNNING, times.cacheLeaseMillis());
    }
}
