/**
 * A whole deployment in one process on loopback: stand-ins, entries and sidecars, each with its own event loop and its
 * own ports, joined by nothing but TCP. For the demo, for tests and for measurements.
 */
package org.quetzalshunt.app.deployment;
