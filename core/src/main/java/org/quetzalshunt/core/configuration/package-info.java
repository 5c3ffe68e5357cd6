/**
 * The configuration of a deployment as a fold over the configuration stream: service documents by compare-and-set on
 * their version, first valid record wins, at every reader alike. Records that cannot be read are skipped and reported.
 */
package org.quetzalshunt.core.configuration;
