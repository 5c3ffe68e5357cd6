/**
 * Command lines of the long-running processes: every setting is a flag with an environment variable, checked before
 * anything starts, and printed with its origin on request.
 */
package org.quetzalshunt.server.settings;
