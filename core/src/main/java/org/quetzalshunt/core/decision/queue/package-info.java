/**
 * Order of the queued requests: fair queueing over client accounts by tokens of work. Inside an account, requests are
 * ordered by the attained work of their programs, their waiting time, and whether their program is in progress.
 */
package org.quetzalshunt.core.decision.queue;
