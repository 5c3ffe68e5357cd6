/** Endpoints as they register themselves, and the choice among them. */
package org.quetzalshunt.core.routing;
