/** Which rules are in force, as one value that is made at start. */
package org.quetzalshunt.core.policy;
