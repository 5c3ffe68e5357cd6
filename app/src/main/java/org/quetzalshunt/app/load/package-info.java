/**
 * Open-loop load generator. Arrival times of programs are drawn before the run and do not depend on the system's
 * answers. Each latency is measured from the time at which its step was due, so that a stall counts in every step that
 * it delays (no coordinated omission). Calls use the public HTTP API, on loopback addresses only.
 */
package org.quetzalshunt.app.load;
