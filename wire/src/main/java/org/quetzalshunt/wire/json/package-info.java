/** JSON by Jackson, behind one small class, so that limits are set in one place. */
package org.quetzalshunt.wire.json;
