/** Parts shared by all stand-ins: the HTTP server, fault injection at run time, and the log of executed requests. */
package org.quetzalshunt.standin.control;
