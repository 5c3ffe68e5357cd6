/**
 * Stand-in of a model engine: continuous batching with limited slots, chunked prefill, a prefix cache of limited size,
 * priorities, late cache events, lagging load reports, resume and cancel, and orders with fencing on or ignored. Its
 * answers are a function of the messages ({@link org.quetzalshunt.standin.engine.StandinAnswer}), so that a checker
 * can tell a whole answer to the right request from any other.
 */
package org.quetzalshunt.standin.engine;
