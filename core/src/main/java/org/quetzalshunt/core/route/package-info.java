/** What operators configured, as one immutable snapshot: routes, services, client accounts and bounds on callers. */
package org.quetzalshunt.core.route;
