/** The one binary: its command line, the demo, and the load and measurement tools. */
package org.quetzalshunt.app;
