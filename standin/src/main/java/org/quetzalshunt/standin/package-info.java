/**
 * Stand-ins for the systems that quetzalshunt depends on: log service, VM list, weight store, model engine and plain
 * service, as specified in docs/PLATFORM.md. They keep all data in memory and are meant only for tests, the demo and
 * the load tool.
 */
package org.quetzalshunt.standin;
