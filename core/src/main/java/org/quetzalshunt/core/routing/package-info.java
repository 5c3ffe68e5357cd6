/** Endpoint registrations and the selection of an endpoint for each request. */
package org.quetzalshunt.core.routing;
