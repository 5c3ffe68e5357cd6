/**
 * The configuration of a deployment, which every process builds from the records of the configuration stream. Service
 * documents are changed by compare-and-set on their version. Records that cannot be read are skipped and counted.
 */
package org.quetzalshunt.core.configuration;
