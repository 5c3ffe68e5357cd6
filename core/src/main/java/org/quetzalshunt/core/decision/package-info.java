/**
 * Admission, queueing, endpoint selection and retries for one entry, the process on a VM that schedules requests. The
 * package uses no network, no clock and no threads: times are passed in as milliseconds and results are returned as
 * values. {@link org.quetzalshunt.core.decision.Scheduler} is the facade; docs/design/decisions.md discusses the rules.
 */
package org.quetzalshunt.core.decision;
