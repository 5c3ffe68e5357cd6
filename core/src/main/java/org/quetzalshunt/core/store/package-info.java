/** Interface to the platform's shared map, and the maps and shards that this system stores there. */
package org.quetzalshunt.core.store;
