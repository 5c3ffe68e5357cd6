/**
 * Plays: patterns of load in virtual time, run through the real scheduler over a small fake of the engines, and what
 * callers get from each policy. Shared by {@code bench decisions} and the tests.
 */
package org.quetzalshunt.app.bench.play;
