/** Optional mechanisms of the scheduling policy, and the set of them that is enabled at start. */
package org.quetzalshunt.core.policy;
