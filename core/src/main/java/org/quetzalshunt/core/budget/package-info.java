/** Token budgets of programs, spent at several VMs at once without an owner. */
package org.quetzalshunt.core.budget;
