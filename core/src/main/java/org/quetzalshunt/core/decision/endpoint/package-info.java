/**
 * Endpoint selection for queued requests: the table of endpoints with their concurrency limits, measured speeds, cache
 * contents and ejections.
 */
package org.quetzalshunt.core.decision.endpoint;
