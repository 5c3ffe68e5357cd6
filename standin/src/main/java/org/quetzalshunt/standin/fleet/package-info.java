/**
 * Stand-ins of the users' platform: its store and its servers, speaking the same protocol, with the faults that tests
 * need. Groups and committed offsets are left out, since nothing here uses them.
 */
package org.quetzalshunt.standin.fleet;
