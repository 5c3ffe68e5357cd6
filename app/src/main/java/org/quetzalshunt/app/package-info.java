/** The command line of the binary, with the demo and the load, log analysis and measurement tools. */
package org.quetzalshunt.app;
