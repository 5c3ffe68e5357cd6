/**
 * The gateway: takes callers' requests on a platform that brings its own configuration, registrations and shared map,
 * and sends them to endpoints. Any gateway serves any turn; nothing here owns a program.
 */
package org.quetzalshunt.server.gateway;
