/** Offline analysis of gateway logs: the outcome of one request or program, and statistics of unserved or late work. */
package org.quetzalshunt.app.explain;
