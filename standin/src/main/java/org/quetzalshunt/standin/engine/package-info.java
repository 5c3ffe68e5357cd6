/**
 * Stand-in of a model engine: continuous batching with limited slots, chunked prefill, a prefix cache of limited size,
 * priorities, delayed cache events and load reports, resume and cancel, and orders with or without a check of fencing
 * tokens. The answer is a function of the messages ({@link org.quetzalshunt.standin.engine.StandinAnswer}), so that a
 * checker can verify that an answer is complete and belongs to its request.
 */
package org.quetzalshunt.standin.engine;
