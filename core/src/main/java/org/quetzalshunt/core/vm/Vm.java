package org.quetzalshunt.core.vm;

/**
 * A VM as the platform's lagging list names it.
 *
 * @param name name, unique in the list
 * @param role what runs on it
 * @param host IP number
 * @param port TCP port of the protocol between processes
 * @param dataCentre where it is
 * @param service for a sidecar, the service of its endpoint; empty for an entry
 * @param leaving whether the platform is about to stop it
 */
public record Vm(String name, VmRole role, String host, int port, String dataCentre, String service, boolean leaving) {}
