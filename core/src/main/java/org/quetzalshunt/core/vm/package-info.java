/** Identity of a process: its VM, role, incarnation and data centre. */
package org.quetzalshunt.core.vm;
