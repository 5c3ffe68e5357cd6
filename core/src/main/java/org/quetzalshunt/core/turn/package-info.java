/** Turns of programs as they are kept: one record a turn, chained by the id of the turn before. */
package org.quetzalshunt.core.turn;
