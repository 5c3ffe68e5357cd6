/**
 * The gateway: receives requests of callers on a platform that provides the configuration, the registrations of
 * endpoints and the store (a shared map), and forwards them to endpoints. Any gateway can serve any turn; no program is
 * bound to one gateway.
 */
package org.quetzalshunt.server.gateway;
