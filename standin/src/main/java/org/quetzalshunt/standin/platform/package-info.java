/** Stand-in of the platform: an append-only log service, a VM list with a delay, and a rate-limited weight store. */
package org.quetzalshunt.standin.platform;
