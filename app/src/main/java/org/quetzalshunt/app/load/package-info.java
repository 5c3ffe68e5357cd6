/**
 * Load and experiment tool. Programs arrive at times drawn ahead, whatever the system does (an open loop), and every
 * latency counts from the time at which its step was due, so that a stall shows in all that it delayed: no coordinated
 * omission. It speaks the callers' HTTP API, to loopback addresses only.
 */
package org.quetzalshunt.app.load;
