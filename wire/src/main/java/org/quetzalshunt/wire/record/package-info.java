/** Codecs for the records of the log and of the shared map, in the Thrift compact protocol with bounds on all sizes. */
package org.quetzalshunt.wire.record;
