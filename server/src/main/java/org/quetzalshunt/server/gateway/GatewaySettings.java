package org.quetzalshunt.server.gateway;

import java.net.InetSocketAddress;
import java.util.Map;
import org.quetzalshunt.core.policy.Policy;
import org.quetzalshunt.core.vm.VmCapacity;

/**
 * Settings of a gateway process.
 *
 * @param vm name of this VM
 * @param incarnation start time of this process, in Unix milliseconds, which identifies its incarnation
 * @param dataCentre data centre of this VM
 * @param callerAddress address for callers
 * @param probeAddress address for the balancer's probes, metrics and the state dump
 * @param linkAddress address for links from other gateways
 * @param maximumKeyAgeMillis time since the last confirmation of the configuration after which its API keys are no
 *     longer accepted
 * @param stopMillis maximum duration of a planned stop
 * @param regions region of each data centre
 * @param policy mechanisms that are enabled for decisions under load
 * @param loadControlRequested whether the settings request load control, whatever the configured routes
 * @param capacity capacity of this VM
 */
public record GatewaySettings(
        String vm,
        long incarnation,
        String dataCentre,
        InetSocketAddress callerAddress,
        InetSocketAddress probeAddress,
        InetSocketAddress linkAddress,
        long maximumKeyAgeMillis,
        long stopMillis,
        Map<String, String> regions,
        Policy policy,
        boolean loadControlRequested,
        VmCapacity capacity) {
    /** A copy with another policy. */
    public GatewaySettings withPolicy(Policy other) {
        return new GatewaySettings(
                vm,
                incarnation,
                dataCentre,
                callerAddress,
                probeAddress,
                linkAddress,
                maximumKeyAgeMillis,
                stopMillis,
                regions,
                other,
                loadControlRequested,
                capacity);
    }

    /** Identifies this incarnation of the VM in keys of the store; no other incarnation has the same id. */
    String incarnationId() {
        return vm + ":" + Long.toString(incarnation, Character.MAX_RADIX);
    }
}
