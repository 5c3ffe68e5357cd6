/**
 * {@code quetzalshunt bench capacity}: what a program, an account, a record, a request and a node cost, each at three
 * sizes or more, so that docs/CAPACITY.md can work out a larger deployment from the slopes.
 */
package org.quetzalshunt.app.bench.capacity;
