package org.quetzalshunt.server.gateway;

import java.net.InetSocketAddress;
import java.util.Map;
import org.quetzalshunt.core.policy.Policy;

/**
 * Settings of a gateway.
 *
 * @param vm name of this VM
 * @param incarnation life of this process, in Unix milliseconds
 * @param dataCentre where it is
 * @param callers address for callers
 * @param probes address for the balancer's probes, metrics and the state dump
 * @param links address for other gateways
 * @param keyAgeMillis age at which what is known of keys no longer counts
 * @param stopMillis longest time of a planned stop
 * @param regions region of each data centre
 * @param policy rules of the decisions under load
 */
public record GatewaySettings(
        String vm,
        long incarnation,
        String dataCentre,
        InetSocketAddress callers,
        InetSocketAddress probes,
        InetSocketAddress links,
        long keyAgeMillis,
        long stopMillis,
        Map<String, String> regions,
        Policy policy) {
    /** The same with another policy. */
    public GatewaySettings withPolicy(Policy other) {
        return new GatewaySettings(
                vm, incarnation, dataCentre, callers, probes, links, keyAgeMillis, stopMillis, regions, other);
    }

    /** Names this life of this VM in keys of the shared map; no other life has the same name. */
    String life() {
        return vm + ":" + Long.toString(incarnation, Character.MAX_RADIX);
    }
}
