/** What a VM still accepts during its planned stop, and until when. */
package org.quetzalshunt.core.stop;
