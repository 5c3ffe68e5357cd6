/**
 * Limits of what a gateway holds in memory for callers, endpoints and peers, and the pace at which it reads for callers
 * that read slowly.
 */
package org.quetzalshunt.core.memory;
