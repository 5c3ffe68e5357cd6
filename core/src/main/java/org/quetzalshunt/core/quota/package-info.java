/** Rate limits of client accounts over the whole fleet: each VM holds shares of them, recorded in the shared map. */
package org.quetzalshunt.core.quota;
