package org.quetzalshunt.core.vm;

/**
 * A VM as listed by the platform. The list may lag behind the actual state.
 *
 * @param name unique name
 * @param role role of the process on the VM
 * @param host IP address
 * @param port TCP port of the protocol between processes
 * @param dataCentre data centre of the VM
 * @param service for a sidecar, the service of its endpoint; empty for an entry
 * @param leaving whether the platform is about to stop it
 */
public record Vm(String name, VmRole role, String host, int port, String dataCentre, String service, boolean leaving) {}
