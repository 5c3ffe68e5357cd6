package org.quetzalshunt.server.transport;

import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;

/**
 * Who stands at one end of a link.
 *
 * @param id name and incarnation
 * @param role what it does
 * @param dataCentre where it is
 */
public record LinkIdentity(VmId id, VmRole role, String dataCentre) {}
