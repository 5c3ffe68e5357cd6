/** What every stand-in shares: its HTTP frame, faults set at run time, and the record of what it ran. */
package org.quetzalshunt.standin.control;
