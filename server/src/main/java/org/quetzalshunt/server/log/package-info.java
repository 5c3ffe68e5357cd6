/** Client of the log service of the platform (docs/PLATFORM.md), on the event loop of the process. */
package org.quetzalshunt.server.log;
