package org.quetzalshunt.core.configuration;

import org.quetzalshunt.core.document.ClientAccount;

/**
 * Whose key it is.
 *
 * @param service service for which the key is in force
 * @param account client account that the key names
 */
public record KeyOwner(String service, ClientAccount account) {}
