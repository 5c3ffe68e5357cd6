/**
 * Numbered result codes: what a caller or an operator is told, whether the request ran, and what to do next.
 * The table in docs/CODES.md lists every code; a test keeps the two in step.
 */
package org.quetzalshunt.core.result;
