/** What is let in: the wait that a request must expect, and the refusal of what cannot meet its deadline. */
package org.quetzalshunt.core.decision.admission;
