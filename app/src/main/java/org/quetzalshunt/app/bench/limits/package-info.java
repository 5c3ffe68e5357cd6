/**
 * Measures the ways to hold a client account to its rate and burst over many entries, in virtual time and over a fake
 * network: what each lets through over the limit, what it refuses wrongly, and what its messages cost.
 */
package org.quetzalshunt.app.bench.limits;
