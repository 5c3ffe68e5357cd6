/**
 * The decisions under load of one entry: what is let in, what waits, what is refused, where work goes. No network,
 * no clock, no threads: time comes in as milliseconds, and every answer is a value. {@link
 * org.quetzalshunt.core.decision.Scheduler} is the facade; docs/design/decisions.md weighs the rules.
 */
package org.quetzalshunt.core.decision;
