/** Stand-in of the platform: append-only log service, lagging VM list and rate-limited weight store. */
package org.quetzalshunt.standin.platform;
