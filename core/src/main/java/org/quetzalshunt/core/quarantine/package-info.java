/** Quarantine of requests that crash the endpoints that run them. */
package org.quetzalshunt.core.quarantine;
