/**
 * Dispatch order and free slots: which first turns of programs are sent, wait or are refused while a service is short
 * of slots, and the priority that engines see.
 */
package org.quetzalshunt.core.dispatch;
