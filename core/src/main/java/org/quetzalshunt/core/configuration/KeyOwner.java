package org.quetzalshunt.core.configuration;

import org.quetzalshunt.core.document.ClientAccount;

/**
 * The service and client account that a key belongs to.
 *
 * @param service service at which the key is valid
 * @param account client account that the key authenticates
 */
public record KeyOwner(String service, ClientAccount account) {}
