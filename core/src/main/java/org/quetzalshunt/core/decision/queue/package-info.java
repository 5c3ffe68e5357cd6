/**
 * Who goes first: fair queueing over client accounts by tokens of work, and inside an account the order of its
 * requests by what their programs have attained, how long they wait, and whether their program has begun.
 */
package org.quetzalshunt.core.decision.queue;
