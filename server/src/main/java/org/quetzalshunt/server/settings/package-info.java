/**
 * Command lines of the long-running processes. Every setting is a flag with an environment variable, is validated
 * before anything starts, and can be printed with its origin.
 */
package org.quetzalshunt.server.settings;
