/** Who a process is: its VM, its incarnation and its data centre. */
package org.quetzalshunt.core.vm;
