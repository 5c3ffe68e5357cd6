/** Requests that end the endpoints which run them. */
package org.quetzalshunt.core.quarantine;
