/**
 * Decisions of the process beside an endpoint, the only gate to it: which attempts run, who hears their frames, what
 * engine memory stays held, which models the engine is told to load.
 *
 * <p>No sockets, no threads, no clock: messages and the time come in, messages go out. {@link
 * org.quetzalshunt.core.attempt.EndpointGate} is the way in for attempts and cache leases.
 */
package org.quetzalshunt.core.attempt;
