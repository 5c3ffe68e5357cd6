/**
 * {@code quetzalshunt bench capacity}: measures the cost of a program, an account, a record, a request and a node at
 * three sizes or more, so that docs/CAPACITY.md can estimate larger deployments from the slopes.
 */
package org.quetzalshunt.app.bench.capacity;
