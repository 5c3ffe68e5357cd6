/** Access to JSON through one class around Jackson, which sets the parser limits in one place. */
package org.quetzalshunt.wire.json;
