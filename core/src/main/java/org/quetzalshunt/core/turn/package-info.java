/** Stored turns of programs: one record per turn, linked to the previous turns by their ids. */
package org.quetzalshunt.core.turn;
