package org.quetzalshunt.core.dispatch;

/**
 * A first turn that left the queue.
 *
 * @param decision {@link StartDecision.Send} or {@link StartDecision.Refuse}
 */
public record QueueExit(ProgramStart start, StartDecision decision) {}
