/**
 * Stand-ins for the store and the servers of the users' platform, with the same protocol and with the faults that tests
 * need. Consumer groups and committed offsets are not implemented, since the system does not use them.
 */
package org.quetzalshunt.standin.fleet;
