/** The port to the platform's shared map: what it can do, and the shards that this system keeps there. */
package org.quetzalshunt.core.store;
