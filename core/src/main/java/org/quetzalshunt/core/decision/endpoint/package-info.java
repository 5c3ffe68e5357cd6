/**
 * Where a request goes: the table of endpoints, what each has room for, how fast each is, what its cache holds, and
 * which are left alone for a while because they failed.
 */
package org.quetzalshunt.core.decision.endpoint;
