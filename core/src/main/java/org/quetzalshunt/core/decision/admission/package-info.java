/** Admission control: estimates the queueing time of a request and refuses requests that cannot meet their deadline. */
package org.quetzalshunt.core.decision.admission;
