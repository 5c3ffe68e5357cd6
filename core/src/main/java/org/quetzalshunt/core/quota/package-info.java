/** Rates of client accounts over the whole fleet: each VM holds parts of them, as records of the shared map. */
package org.quetzalshunt.core.quota;
