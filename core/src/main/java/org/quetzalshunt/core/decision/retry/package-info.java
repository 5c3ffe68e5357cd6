/** Number and spacing of retries inside the system. Whether a request may run twice is decided by its program. */
package org.quetzalshunt.core.decision.retry;
