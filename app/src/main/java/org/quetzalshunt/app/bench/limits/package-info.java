/**
 * Compares limiters that enforce a client account's rate and burst over many entries, in virtual time and over a
 * simulated network: admissions over the limit, wrong refusals and message traffic.
 */
package org.quetzalshunt.app.bench.limits;
