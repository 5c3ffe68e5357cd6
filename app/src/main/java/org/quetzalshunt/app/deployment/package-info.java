/**
 * Runs a whole deployment in one process on loopback, for the demo, tests and measurements. Each entry and sidecar has
 * its own event loop, and the stand-ins share an event loop group. All of them have their own ports and communicate
 * over TCP only.
 */
package org.quetzalshunt.app.deployment;
