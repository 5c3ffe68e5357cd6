/** Client of the platform's log service (docs/PLATFORM.md), on the process's event loop. */
package org.quetzalshunt.server.log;
