/**
 * Result codes and refusals reported to callers and operators: the reason, whether the request ran, and when to retry.
 * The table in docs/CODES.md lists every code; a test checks that it matches.
 */
package org.quetzalshunt.core.result;
