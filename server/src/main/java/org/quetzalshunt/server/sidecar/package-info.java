/**
 * The process beside an endpoint: takes orders from entries over links, speaks HTTP to its endpoint, and does what
 * {@link org.quetzalshunt.core.attempt.EndpointGate} decides. Everything runs on one event loop.
 */
package org.quetzalshunt.server.sidecar;
