/** Decides, at the owner of a quota share, whether the quota covers the start of a whole program. */
package org.quetzalshunt.core.admission;
