package org.quetzalshunt.server.transport;

import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;

/**
 * Identity of the process at one end of a link.
 *
 * @param id name and incarnation of its VM
 * @param role role of the process
 * @param dataCentre data centre of its VM
 */
public record LinkIdentity(VmId id, VmRole role, String dataCentre) {}
