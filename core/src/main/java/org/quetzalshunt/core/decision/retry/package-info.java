/** Retries inside the system: how many, and how long apart. Whether a request may run twice is its program's matter. */
package org.quetzalshunt.core.decision.retry;
