/** Explains from the gateways' logs alone what became of a request, and where requests and programs were lost. */
package org.quetzalshunt.app.explain;
