/**
 * The process beside an endpoint: accepts attempts from entries over links, sends them to its endpoint over HTTP, and
 * performs the decisions of {@link org.quetzalshunt.core.attempt.EndpointGate}. Everything runs on one event loop.
 */
package org.quetzalshunt.server.sidecar;
