/** Token budgets of programs, which several VMs spend concurrently without a single owner. */
package org.quetzalshunt.core.budget;
