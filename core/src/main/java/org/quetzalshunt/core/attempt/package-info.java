/**
 * Decision logic of the sidecar, the only process that sends requests to an endpoint: which attempts run, which link
 * receives their frames, which cache entries the engine keeps, and which models it loads.
 *
 * <p>Has no sockets, threads or clock: messages and the current time are passed in, and outputs are passed to a
 * consumer. {@link org.quetzalshunt.core.attempt.EndpointGate} handles attempts and cache leases, {@link
 * org.quetzalshunt.core.attempt.ModelRollout} handles model versions.
 */
package org.quetzalshunt.core.attempt;
