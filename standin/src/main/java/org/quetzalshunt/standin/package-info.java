/**
 * Small stand-ins of what surrounds the system: log service, VM list, weight store, model engine and plain service, as
 * docs/PLATFORM.md says. They keep everything in memory and serve tests, the demo and the load tool, nothing else.
 */
package org.quetzalshunt.standin;
