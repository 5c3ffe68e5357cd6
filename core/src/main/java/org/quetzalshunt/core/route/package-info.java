/** Immutable snapshot of the operators' configuration: routes, services, client accounts and limits on callers. */
package org.quetzalshunt.core.route;
